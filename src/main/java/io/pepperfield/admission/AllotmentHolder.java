package io.pepperfield.admission;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.JobSpec;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The allotment that one controller uses, from its arrival until it ends. */
final class AllotmentHolder {

    private static final Logger LOG = LoggerFactory.getLogger(AllotmentHolder.class);

    /** The holder's margin on an allotment's end, as on a grant's. */
    private static final double HOLDER_MARGIN = 0.9;

    /** Why an allotment is not used. */
    private enum IgnoreReason {
        OTHER_CONTROLLER("for another controller"),
        EARLIER_LEADER("of an earlier leader"),
        NOT_LATER("that is not later than the one in use"),
        ENDED("that has ended");

        private final String description;

        IgnoreReason(String description) {
            this.description = description;
        }
    }

    /** Whose queue a new job joins. */
    private record TeamPriority(String team, JobSpec.Priority priority) {}

    private final String node;
    private final Map<TeamPriority, QueueWait> queueWaits = new HashMap<>();
    private final Set<IgnoreReason> loggedIgnoreReasons = EnumSet.noneOf(IgnoreReason.class);

    /** The last one that was used; kept after its end, as an older one must not follow it. */
    private Allotment allotment;

    private double endsAt = Double.NEGATIVE_INFINITY;

    AllotmentHolder(String node) {
        this.node = node;
    }

    /**
     * Holds an allotment from now on, unless it is of no use.
     *
     * @param sentAt when the request that it answers was sent, a loop time
     * @param leaderToken the highest fencing token of a leader that is known here
     * @return whether it is held
     */
    boolean offer(Allotment offered, double sentAt, FencingToken leaderToken, double now) {
        double offeredEndsAt = sentAt + offered.durationS() * HOLDER_MARGIN;
        Optional<IgnoreReason> reason = ignoreReason(offered, offeredEndsAt, leaderToken, now);
        if (reason.isPresent()) {
            logOnce(reason.get());
            return false;
        }
        allotment = offered;
        endsAt = offeredEndsAt;
        queueWaits.clear();
        for (QueueWait wait : offered.queueWaits()) {
            queueWaits.put(new TeamPriority(wait.team(), wait.priority()), wait);
        }
        return true;
    }

    private Optional<IgnoreReason> ignoreReason(
            Allotment offered, double offeredEndsAt, FencingToken leaderToken, double now) {
        if (!offered.node().equals(node)) {
            return Optional.of(IgnoreReason.OTHER_CONTROLLER);
        }
        if (offered.fencingToken().isOlderThan(leaderToken)) {
            return Optional.of(IgnoreReason.EARLIER_LEADER);
        }
        if (allotment != null && !allotment.isBefore(offered)) {
            return Optional.of(IgnoreReason.NOT_LATER);
        }
        return offeredEndsAt <= now ? Optional.of(IgnoreReason.ENDED) : Optional.empty();
    }

    private void logOnce(IgnoreReason reason) {
        if (loggedIgnoreReasons.add(reason)) {
            LOG.warn(
                    "allotment ignored, not logged again for this reason: controller={} reason=\"{}\"",
                    node,
                    reason.description);
        }
    }

    /** Lets go of an allotment that has ended; whether there was one. */
    boolean expire(double now) {
        if (!hasAllotment() || now < endsAt) {
            return false;
        }
        endsAt = Double.NEGATIVE_INFINITY;
        queueWaits.clear();
        return true;
    }

    boolean hasAllotment() {
        return Double.isFinite(endsAt);
    }

    /** The allotment in use. */
    Optional<Allotment> current() {
        return hasAllotment() ? Optional.of(allotment) : Optional.empty();
    }

    /** The predicted wait of the queue that a job would join, where the leader has told it. */
    Optional<QueueWait> queueWait(JobSpec job) {
        return Optional.ofNullable(queueWaits.get(new TeamPriority(job.team(), job.priority())));
    }

    /** Seconds until the allotment in use ends; not finite without one. */
    double endsInS(double now) {
        return endsAt - now;
    }
}
