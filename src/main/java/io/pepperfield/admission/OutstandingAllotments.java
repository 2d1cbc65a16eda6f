package io.pepperfield.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the leader has handed out and may be in use.
 *
 * <p>Invariant: the extra rates of all allotments that may be in use at any moment never exceed the
 * divided rate. An allotment counts until its holder has shown a later one, or until it has surely
 * ended by the leader's clock; a holder uses one at a time, so it counts with its largest. A leader
 * cannot know what the one before it gave away and begins with nothing until all of that has ended.
 */
final class OutstandingAllotments {

    /** Steady clocks differ by at most 0.05%; the holder's margin is far larger. */
    private static final double CLOCK_DRIFT = 1.001;

    /** An allotment that may be in use until then. */
    private record Issued(long serial, int extraPerMinute, double endsAt) {}

    private final int dividedPerMinute;
    private final double durationS;
    private final double issuingStartsAt;
    private final Map<String, List<Issued>> issued = new HashMap<>();

    /**
     * @param electedAt when this leader learnt that it leads: no earlier one answers from then on
     */
    OutstandingAllotments(int dividedPerMinute, double durationS, double electedAt) {
        this.dividedPerMinute = dividedPerMinute;
        this.durationS = durationS;
        this.issuingStartsAt = electedAt + durationS * CLOCK_DRIFT;
    }

    /** The most that may be given to that controller now. */
    int availablePerMinute(String node, double now) {
        if (now < issuingStartsAt) {
            return 0;
        }
        int others = 0;
        for (String other : issued.keySet()) {
            others += other.equals(node) ? 0 : committedPerMinute(other, now);
        }
        return Math.max(0, dividedPerMinute - others);
    }

    /** What that controller may be using at this moment. */
    int committedPerMinute(String node, double now) {
        List<Issued> live = issued.getOrDefault(node, List.of());
        return live.stream()
                .filter(allotment -> allotment.endsAt > now)
                .mapToInt(Issued::extraPerMinute)
                .max()
                .orElse(0);
    }

    /** When the last of a controller's allotments has surely ended. */
    double lastEndsAt(String node) {
        return issued.getOrDefault(node, List.of()).stream()
                .mapToDouble(Issued::endsAt)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    void recordIssued(String node, long serial, int extraPerMinute, double now) {
        List<Issued> live = issued.computeIfAbsent(node, key -> new ArrayList<>());
        live.removeIf(allotment -> allotment.endsAt <= now);
        live.add(new Issued(serial, extraPerMinute, now + durationS * CLOCK_DRIFT));
    }

    /** The controller uses the allotment of that serial, and never one before it again. */
    void acknowledge(String node, long serial) {
        issued.getOrDefault(node, new ArrayList<>())
                .removeIf(allotment -> allotment.serial < serial);
    }
}
