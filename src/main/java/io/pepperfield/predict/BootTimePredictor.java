package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How long machines of a type take to boot in a zone: a median among peers, as WIRE has for tasks.
 * Those that are late count with the time that they have taken so far, among all that were rented
 * since the first of them: so a zone that has become slow is known before its first machine is
 * ready, and a few stragglers among many ready machines make no zone slow.
 */
public final class BootTimePredictor {

    private static final int MAX_SAMPLES = 256;

    /**
     * The nominal time counts like so many boots: where hardly any machines were rented, a few that
     * failed make no slow zone.
     */
    private static final int NOMINAL_SAMPLES = 5;

    /** Multiple of the nominal time, the platform's usual spread, beyond which a boot is late. */
    private static final double LATE_FACTOR = 1.5;

    /** A zone that is slower than this multiple cannot be told from one where nothing boots. */
    private static final double MAX_FACTOR = 4;

    /** Loop times in seconds of a machine's rental and of its first heartbeat. */
    private record Boot(double rentedAt, double readyAt) {}

    private final Map<String, ArrayDeque<Boot>> bootsByLocation = new HashMap<>();
    private final double retentionS;

    /**
     * @param retentionS seconds for which a boot says something about the next, so that what an
     *     outage has shown is forgotten after it
     */
    public BootTimePredictor(double retentionS) {
        this.retentionS = retentionS;
    }

    /**
     * Records a completed boot.
     *
     * @param location names a machine type in a zone
     * @param rentedAt loop time of the rental in seconds
     * @param readyAt loop time of the first heartbeat in seconds
     */
    public void recordBoot(String location, double rentedAt, double readyAt) {
        ArrayDeque<Boot> boots =
                bootsByLocation.computeIfAbsent(location, added -> new ArrayDeque<>());
        boots.addLast(new Boot(rentedAt, readyAt));
        if (boots.size() > MAX_SAMPLES) {
            boots.removeFirst();
        }
    }

    /**
     * The seconds that a boot is expected to take, at least the nominal time: machines that were
     * ready at once for a while must not lead to releases that the next boots, which take their
     * time again, make expensive.
     *
     * @param awaited loop times of the rentals of machines that are not ready yet
     * @param unobserved loop times of the rentals of machines that are ready and whose boots were
     *     not observed, as after a change of leader
     */
    public double expectedBootTime(
            String location,
            double nominalS,
            List<Double> awaited,
            List<Double> unobserved,
            double now) {
        List<Double> overdue =
                awaited.stream().filter(rentedAt -> isLate(now - rentedAt, nominalS)).toList();
        double firstOverdue =
                overdue.stream().min(Double::compare).orElse(Double.NEGATIVE_INFINITY);
        DoubleArrayList times = new DoubleArrayList();
        for (int i = 0; i < NOMINAL_SAMPLES; i++) {
            times.add(nominalS);
        }
        addObserved(location, firstOverdue, now, times);
        if (!overdue.isEmpty()) {
            unobserved.stream()
                    .filter(rentedAt -> rentedAt >= firstOverdue)
                    .forEach(rentedAt -> times.add(nominalS));
            overdue.forEach(rentedAt -> times.add(now - rentedAt));
        }
        return Math.min(MAX_FACTOR * nominalS, Math.max(nominalS, Medians.of(times)));
    }

    private void addObserved(
            String location, double rentedSince, double now, DoubleArrayList times) {
        ArrayDeque<Boot> boots = bootsByLocation.get(location);
        if (boots == null) {
            return;
        }
        for (Boot boot : boots) {
            if (now - boot.readyAt <= retentionS && boot.rentedAt >= rentedSince) {
                times.add(boot.readyAt - boot.rentedAt);
            }
        }
    }

    /** Whether boots take so much longer than usual that other zones are worth a try. */
    public static boolean isLate(double expectedS, double nominalS) {
        return expectedS > LATE_FACTOR * nominalS;
    }
}
