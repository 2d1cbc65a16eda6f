package io.pepperfield.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The allotments that this leader has issued and that may still be in use.
 *
 * <p>Invariant: the extra rates of all allotments that may be in use at any moment never exceed the
 * allottable rate. An allotment counts until its holder has acknowledged a later one, or until it
 * must have expired by the leader's clock. A holder uses one allotment at a time, so only the
 * largest of its allotments counts. A new leader does not know the allotments of earlier leaders
 * and issues no extra rate until all of those have expired.
 */
final class OutstandingAllotments {

    /** Monotonic clocks drift by at most 0.05%; the holder's safety margin is far larger. */
    private static final double CLOCK_DRIFT_FACTOR = 1.001;

    /** An issued allotment, which may be in use until {@code endsAt}. */
    private record Issued(long serial, int extraPerMinute, double endsAt) {}

    private final int allottablePerMinute;
    private final double durationS;
    private final double issuingStartsAt;
    private final Map<String, List<Issued>> issued = new HashMap<>();

    /**
     * @param electedAt loop time at which this leader learned of its election; earlier leaders
     *     issue nothing after it
     */
    OutstandingAllotments(int allottablePerMinute, double durationS, double electedAt) {
        this.allottablePerMinute = allottablePerMinute;
        this.durationS = durationS;
        this.issuingStartsAt = electedAt + durationS * CLOCK_DRIFT_FACTOR;
    }

    /** Returns the largest extra rate that may be issued to a controller now. */
    int availablePerMinute(String node, double now) {
        if (now < issuingStartsAt) {
            return 0;
        }
        int committedToOthers = 0;
        for (String other : issued.keySet()) {
            committedToOthers += other.equals(node) ? 0 : committedPerMinute(other, now);
        }
        return Math.max(0, allottablePerMinute - committedToOthers);
    }

    /** Returns the largest extra rate that a controller may be using now. */
    int committedPerMinute(String node, double now) {
        List<Issued> outstanding = issued.getOrDefault(node, List.of());
        return outstanding.stream()
                .filter(allotment -> allotment.endsAt > now)
                .mapToInt(Issued::extraPerMinute)
                .max()
                .orElse(0);
    }

    /** Returns the time at which all allotments of a controller must have expired. */
    double lastEndsAt(String node) {
        return issued.getOrDefault(node, List.of()).stream()
                .mapToDouble(Issued::endsAt)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    void recordIssued(String node, long serial, int extraPerMinute, double now) {
        List<Issued> outstanding = issued.computeIfAbsent(node, key -> new ArrayList<>());
        outstanding.removeIf(allotment -> allotment.endsAt <= now);
        outstanding.add(new Issued(serial, extraPerMinute, now + durationS * CLOCK_DRIFT_FACTOR));
    }

    /** Releases the allotments before a serial, as the controller no longer uses them. */
    void acknowledge(String node, long serial) {
        issued.getOrDefault(node, new ArrayList<>())
                .removeIf(allotment -> allotment.serial < serial);
    }
}
