package io.pepperfield.admission;

import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.SortedMap;

/**
 * A lease on a part of the admission rate that the leader issues to one controller.
 *
 * @param node the controller that it is issued to
 * @param fencingToken the leader's fencing token
 * @param serial increases with each allotment of a leader
 * @param durationS time until it expires; the holder counts it from the sending of the request, so
 *     that the allotment expires at the holder before it expires at the leader
 * @param extraPerMinute admissions per minute beyond the holder's fixed share
 * @param classes share of each class in the sum of the fixed share and the extra rate
 * @param queueWaits the queues whose predicted wait is at least half of the limit
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
     * The share of one workload class.
     *
     * @param limited whether the share does not meet the demand of the class; a limited class does
     *     not use the capacity that other classes leave unused
     */
    record ClassShare(int perMinute, boolean limited) {
        /** Share of a class that was not part of the division. */
        static final ClassShare NONE = new ClassShare(0, false);
    }

    /** Whether this allotment was issued before another one. */
    boolean isBefore(Allotment other) {
        return fencingToken.isOlderThan(other.fencingToken)
                || fencingToken.equals(other.fencingToken) && serial < other.serial;
    }
}
