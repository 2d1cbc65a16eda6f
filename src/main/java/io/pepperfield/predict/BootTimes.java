package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How long machines of a type take to boot in a zone: a median among peers, as WIRE has for tasks.
 * Those that are late count with the time they have taken so far, among all that were rented since
 * the first of them: so a zone that has become slow is known for it before its first machine comes
 * up, and a few stragglers of a fleet that is up make no zone slow.
 */
public final class BootTimes {

    private static final int KEPT = 256;

    /**
     * The nominal time counts like so many boots: where hardly any were rented, a few that died are
     * no slow zone.
     */
    private static final int STATED = 5;

    /** The platform's usual spread: beyond it a machine is late. */
    private static final double LATE = 1.5;

    /** A zone that is slower than that cannot be told from one in which nothing comes up. */
    private static final double SLOWEST = 4;

    /** Loop times in seconds of a machine's rental and of its first report. */
    private record Boot(double rentedAt, double upAt) {}

    private final Map<String, ArrayDeque<Boot>> seen = new HashMap<>();
    private final double recentS;

    /**
     * @param recentS how long a boot says something about the next, so that what a trouble has
     *     taught is forgotten after it
     */
    public BootTimes(double recentS) {
        this.recentS = recentS;
    }

    /**
     * Records a completed boot; {@code place} names a type of machine in a zone, times are loop
     * times.
     */
    public void seen(String place, double rentedAt, double upAt) {
        ArrayDeque<Boot> boots = seen.computeIfAbsent(place, p -> new ArrayDeque<>());
        boots.addLast(new Boot(rentedAt, upAt));
        if (boots.size() > KEPT) {
            boots.removeFirst();
        }
    }

    /**
     * What a boot is expected to take, at least the nominal time: machines that were up at once for
     * a while must not lead to returns that the next boots, which take their time again, make dear.
     *
     * @param awaited machines that are not up yet, by their rental
     * @param unseen rentals of machines that are up and whose boots were not seen, as after a
     *     change of leader
     */
    public double expected(
            String place, double nominalS, List<Double> awaited, List<Double> unseen, double now) {
        double since =
                awaited.stream()
                        .filter(at -> now - at > LATE * nominalS)
                        .min(Double::compare)
                        .orElse(Double.NEGATIVE_INFINITY);
        DoubleArrayList times = new DoubleArrayList();
        for (int i = 0; i < STATED; i++) {
            times.add(nominalS);
        }
        for (Boot boot : seen.getOrDefault(place, new ArrayDeque<>())) {
            if (now - boot.upAt <= recentS && boot.rentedAt >= since) {
                times.add(boot.upAt - boot.rentedAt);
            }
        }
        if (since > Double.NEGATIVE_INFINITY) {
            unseen.stream().filter(at -> at >= since).forEach(at -> times.add(nominalS));
            awaited.stream()
                    .filter(at -> now - at > LATE * nominalS)
                    .forEach(at -> times.add(now - at));
        }
        return Math.min(SLOWEST * nominalS, Math.max(nominalS, Medians.of(times)));
    }

    /** Whether machines come so much later than usual that other zones are worth a try. */
    public static boolean late(double expectedS, double nominalS) {
        return expectedS > LATE * nominalS;
    }
}
