package io.pepperfield.lifecycle;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.store.Keys;
import io.pepperfield.store.TransactionLimits;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which jobs of shared run records have intents that the last write has left to the next one: each
 * needs a precondition on its job's final state, and a transaction takes only so many of them.
 */
final class DeferredIntents {

    /** Each transaction has one on the leader's key. */
    private static final int LEADER_PRECONDITIONS = 1;

    private final LiveAttempts liveAttempts;
    private final TransactionLimits limits;
    private final Set<String> deferredJobs = new HashSet<>();

    DeferredIntents(LiveAttempts liveAttempts, TransactionLimits limits) {
        this.liveAttempts = liveAttempts;
        this.limits = limits;
    }

    /** Chooses anew which jobs of one record are left to the next write. */
    void deferExcess(Collection<Job> jobs) {
        int available =
                Math.max(
                        1,
                        limits.maxPreconditions() - TaskState.SPLIT_PARTS - LEADER_PRECONDITIONS);
        for (Job job : jobs) {
            deferredJobs.remove(job.spec.id());
            if (hasIntent(job) && available-- <= 0) {
                deferredJobs.add(job.spec.id());
            }
        }
    }

    /** Whether the job's intents are left to the next write. */
    boolean isDeferred(Job job) {
        return deferredJobs.contains(job.spec.id());
    }

    /** Whether the attempt is an intent that is left to the next write. */
    boolean isDeferred(Attempt attempt) {
        return isIntent(attempt) && isDeferred(attempt.job);
    }

    /**
     * Keys of the final states that must not exist when intents of these jobs become durable: once
     * a cancellation has taken effect, no start is intended any more, although this leader may not
     * have heard of it yet.
     */
    List<String> requiredAbsentKeys(Collection<Job> jobs) {
        return jobs.stream()
                .filter(job -> hasIntent(job) && !isDeferred(job))
                .map(job -> Keys.FINAL_STATE_PREFIX + job.spec.id())
                .toList();
    }

    private boolean hasIntent(Job job) {
        return job.finalStatus() == null
                && liveAttempts.attemptsOf(job).stream().anyMatch(DeferredIntents::isIntent);
    }

    private static boolean isIntent(Attempt attempt) {
        return attempt.phase() == Attempt.Phase.INTENDED;
    }
}
