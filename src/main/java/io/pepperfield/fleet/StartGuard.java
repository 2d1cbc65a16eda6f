package io.pepperfield.fleet;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.PlacementConstraints;
import io.pepperfield.jobs.PlacementConstraints.Verdict;
import io.pepperfield.jobs.ZoneCounts;
import io.pepperfield.loop.LogDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last check before a run order is sent: whether the attempt's machine still meets the job's
 * placement constraints, given what is known of the job's other live attempts by now. Planning
 * applies the same constraints, so a refusal shows that something was known wrongly when the start
 * was planned. Used on the owner thread only.
 */
final class StartGuard {

    private static final Logger LOG = LoggerFactory.getLogger(StartGuard.class);

    private final LiveAttempts liveAttempts;
    private final LeaderFencingTokens tokens;
    private int refusedCount;

    StartGuard(LiveAttempts liveAttempts, LeaderFencingTokens tokens) {
        this.liveAttempts = liveAttempts;
        this.tokens = tokens;
    }

    /** Returns whether the attempt may still start; logs and counts a refusal. */
    boolean permits(Attempt attempt) {
        ZoneCounts otherTasks = otherLiveTasks(attempt);
        Machine machine = attempt.machine;
        Verdict verdict =
                PlacementConstraints.check(attempt.job.spec, machine.attributes(), otherTasks);
        if (verdict == Verdict.ALLOWED) {
            return true;
        }
        refusedCount++;
        LOG.error(
                "start refused: task={} attempt={} instance={} verdict={} otherTasks={}"
                        + " fencingToken={}",
                attempt.taskRef,
                attempt.number,
                machine.describe(),
                verdict,
                otherTasks,
                tokens.currentToken());
        return false;
    }

    /**
     * Returns whether a run order for the attempt may be sent now; logs on which knowledge it is
     * allowed, or counts the refusal.
     *
     * @param channel how the order is sent, for the log
     */
    boolean confirm(Attempt attempt, String channel, double now) {
        boolean permitted = permits(attempt);
        if (permitted) {
            logRunOrder(attempt, channel, now);
        }
        return permitted;
    }

    private void logRunOrder(Attempt attempt, String channel, double now) {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        Machine machine = attempt.machine;
        LOG.debug(
                "run order: task={} attempt={} instance={} incarnation={} channel={} otherTasks={}"
                        + " heardAgoS={} intendedAgoS={} fencingToken={}",
                attempt.taskRef,
                attempt.number,
                machine.describe(),
                attempt.incarnation,
                channel,
                otherLiveTasks(attempt),
                LogDuration.roundToTenths(machine.unresponsiveFor(now)),
                LogDuration.roundToTenths(now - attempt.intendedAt),
                tokens.currentToken());
    }

    /** Returns the number of starts refused in this leadership term. */
    int refusedCount() {
        return refusedCount;
    }

    /** Counts the job's other live attempts, if the constraints depend on them. */
    private ZoneCounts otherLiveTasks(Attempt attempt) {
        JobSpec job = attempt.job.spec;
        if (!PlacementConstraints.dependsOnOtherTasks(job)) {
            return new ZoneCounts();
        }
        ZoneCounts counts = liveAttempts.countByZone(attempt.job);
        if (liveAttempts.get(attempt.job, attempt.task) == attempt) {
            counts.add(attempt.machine.zone(), -1);
        }
        return counts;
    }
}
