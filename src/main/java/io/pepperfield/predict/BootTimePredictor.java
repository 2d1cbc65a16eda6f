package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicts how long machines of a type take to boot in a zone: the median of recent boots, as WIRE
 * predicts run times from peers.
 *
 * <p>Once boots are late, they count with the time elapsed so far, and only machines rented since
 * the first late one are considered. A zone that has become slow is thus detected before its first
 * machine is ready, while a few stragglers among many ready machines do not make a zone slow.
 */
public final class BootTimePredictor {

    private static final int MAX_SAMPLES = 256;

    /**
     * Number of samples that the nominal time counts for. Where few machines were rented, a few
     * failed boots therefore do not make a zone slow.
     */
    private static final int NOMINAL_SAMPLES = 5;

    /**
     * Multiple of the nominal time beyond which a boot is late; smaller deviations are the
     * platform's usual variation.
     */
    private static final double LATE_FACTOR = 1.5;

    /**
     * Upper limit of the expected time, as a multiple of the nominal time. A slower zone cannot be
     * distinguished from one where no machine boots.
     */
    private static final double MAX_FACTOR = 4;

    /** Loop times in seconds of a machine's rental and of its first heartbeat. */
    private record Boot(double rentedAt, double readyAt) {}

    private final Map<String, ArrayDeque<Boot>> bootsByLocation = new HashMap<>();
    private final double retentionS;

    /**
     * @param retentionS seconds for which a boot is used in predictions, so that slow boots during
     *     an outage stop counting after it
     */
    public BootTimePredictor(double retentionS) {
        this.retentionS = retentionS;
    }

    /**
     * Records a completed boot.
     *
     * @param location identifies a machine type in a zone
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
     * Returns the expected boot time in seconds, at least the nominal time. A lower value after a
     * series of fast boots would lead to releases that become costly once boots take the nominal
     * time again.
     *
     * @param awaited loop times of the rentals of machines that are not ready yet
     * @param unobserved loop times of the rentals of ready machines whose boots were not observed,
     *     for example after a change of leader
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

    /** Whether boots take so much longer than the nominal time that other zones are preferable. */
    public static boolean isLate(double expectedS, double nominalS) {
        return expectedS > LATE_FACTOR * nominalS;
    }
}
