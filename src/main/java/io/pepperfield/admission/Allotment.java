package io.pepperfield.admission;

import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.SortedMap;

/**
 * What the leader lets one controller admit for a while: a lease on a part of the rate.
 *
 * @param node the controller that it is for
 * @param fencingToken the leader's fencing token
 * @param serial grows with each allotment of a leader
 * @param durationS how long it lasts; its holder counts from the sending of the request that it
 *     answers, and so ends before the leader takes it for ended
 * @param extraPerMinute admissions per minute beyond the holder's fixed share
 * @param classes each class's part of the fixed share and of that together
 * @param queueWaits the queues whose predicted waiting is worth knowing
 */
record Allotment(
        String node,
        FencingToken fencingToken,
        long serial,
        double durationS,
        int extraPerMinute,
        SortedMap<WorkloadClass, ClassShare> classes,
        List<QueueWait> queueWaits) {

    /**
     * One class's part.
     *
     * @param limited its demand is not met: it may not use what nobody else asked for
     */
    record ClassShare(int perMinute, boolean limited) {
        /** What a class has that the division does not know. */
        static final ClassShare NONE = new ClassShare(0, false);
    }

    /** Whether another allotment is the later one. */
    boolean isBefore(Allotment other) {
        return fencingToken.isOlderThan(other.fencingToken)
                || fencingToken.equals(other.fencingToken) && serial < other.serial;
    }
}
