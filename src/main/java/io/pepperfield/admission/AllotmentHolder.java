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

/** The allotment that one controller uses, from its receipt until it expires. */
final class AllotmentHolder {

    private static final Logger LOG = LoggerFactory.getLogger(AllotmentHolder.class);

    /**
     * Fraction of an allotment's duration for which its holder uses it, as for the leader's grant;
     * the remainder is a safety margin.
     */
    private static final double USABLE_DURATION_FRACTION = 0.9;

    /** Why a received allotment is ignored. */
    private enum IgnoreReason {
        WRONG_CONTROLLER("addressed to another controller"),
        EARLIER_LEADER("issued by an earlier leader"),
        NOT_NEWER("not newer than the last accepted allotment"),
        EXPIRED("already expired");

        private final String description;

        IgnoreReason(String description) {
            this.description = description;
        }
    }

    /** Identifies the queue that a new job joins. */
    private record TeamPriority(String team, JobSpec.Priority priority) {}

    private final String node;
    private final Map<TeamPriority, QueueWait> queueWaits = new HashMap<>();
    private final Set<IgnoreReason> loggedIgnoreReasons = EnumSet.noneOf(IgnoreReason.class);

    /** The last accepted allotment; kept after its expiry, so that no older one is accepted. */
    private Allotment allotment;

    private double endsAt = Double.NEGATIVE_INFINITY;

    AllotmentHolder(String node) {
        this.node = node;
    }

    /**
     * Replaces the current allotment by a received one, unless that one must be ignored.
     *
     * @param sentAt loop time at which the request for this allotment was sent
     * @param leaderToken the highest fencing token that this controller has seen
     * @return whether the allotment is now in use
     */
    boolean offer(Allotment offered, double sentAt, FencingToken leaderToken, double now) {
        double offeredEndsAt = sentAt + offered.durationS() * USABLE_DURATION_FRACTION;
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
            return Optional.of(IgnoreReason.WRONG_CONTROLLER);
        }
        if (offered.fencingToken().isOlderThan(leaderToken)) {
            return Optional.of(IgnoreReason.EARLIER_LEADER);
        }
        if (allotment != null && !allotment.isBefore(offered)) {
            return Optional.of(IgnoreReason.NOT_NEWER);
        }
        return offeredEndsAt <= now ? Optional.of(IgnoreReason.EXPIRED) : Optional.empty();
    }

    private void logOnce(IgnoreReason reason) {
        if (loggedIgnoreReasons.add(reason)) {
            LOG.warn(
                    "allotment ignored, not logged again for this reason: controller={} reason=\"{}\"",
                    node,
                    reason.description);
        }
    }

    /** Drops the allotment in use if it has expired; returns whether it did so. */
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

    /** Returns the allotment in use, if any. */
    Optional<Allotment> current() {
        return hasAllotment() ? Optional.of(allotment) : Optional.empty();
    }

    /** Returns the predicted wait of the queue that a job would join, if the leader sent one. */
    Optional<QueueWait> queueWait(JobSpec job) {
        return Optional.ofNullable(queueWaits.get(new TeamPriority(job.team(), job.priority())));
    }

    /** Returns the seconds until the allotment in use expires; not finite without one. */
    double endsInS(double now) {
        return endsAt - now;
    }
}
