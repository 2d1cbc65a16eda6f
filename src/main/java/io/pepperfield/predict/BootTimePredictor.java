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
public final class BootTimePredictor {

    private static final int MAX_SAMPLES = 256;

    /**
     * The nominal time counts like so many boots: where hardly any were rented, a few that died are
     * no slow zone.
     */
    private static final int NOMINAL_SAMPLES = 5;

    /** The platform's usual spread: beyond it a machine is late. */
    private static final double LATE_FACTOR = 1.5;

    /** A zone that is slower than that cannot be told from one in which nothing comes up. */
    private static final double MAX_FACTOR = 4;

    /** Loop times in seconds of a machine's rental and of its first report. */
    private record Boot(double rentedAt, double readyAt) {}

    private final Map<String, ArrayDeque<Boot>> seen = new HashMap<>();
    private final double retentionS;

    /**
     * @param recentS how long a boot says something about the next, so that what a trouble has
     *     taught is forgotten after it
     */
    public BootTimePredictor(double recentS) {
        this.retentionS = recentS;
    }

    /**
     * Records a completed boot; {@code place} names a type of machine in a zone, times are loop
     * times.
     */
    public void seen(String place, double rentedAt, double upAt) {
        ArrayDeque<Boot> boots = seen.computeIfAbsent(place, p -> new ArrayDeque<>());
        boots.addLast(new Boot(rentedAt, upAt));
        if (boots.size() > MAX_SAMPLES) {
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
    public double expectedBootTime(
            String place, double nominalS, List<Double> awaited, List<Double> unseen, double now) {
        double since =
                awaited.stream()
                        .filter(at -> now - at > LATE_FACTOR * nominalS)
                        .min(Double::compare)
                        .orElse(Double.NEGATIVE_INFINITY);
        DoubleArrayList times = new DoubleArrayList();
        for (int i = 0; i < NOMINAL_SAMPLES; i++) {
            times.add(nominalS);
        }
        for (Boot boot : seen.getOrDefault(place, new ArrayDeque<>())) {
            if (now - boot.readyAt <= retentionS && boot.rentedAt >= since) {
                times.add(boot.readyAt - boot.rentedAt);
            }
        }
        if (since > Double.NEGATIVE_INFINITY) {
            unseen.stream().filter(at -> at >= since).forEach(at -> times.add(nominalS));
            awaited.stream()
                    .filter(at -> now - at > LATE_FACTOR * nominalS)
                    .forEach(at -> times.add(now - at));
        }
        return Math.min(MAX_FACTOR * nominalS, Math.max(nominalS, Medians.of(times)));
    }

    /** Whether machines come so much later than usual that other zones are worth a try. */
    public static boolean isLate(double expectedS, double nominalS) {
        return expectedS > LATE_FACTOR * nominalS;
    }
}
