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
 * Tracks the jobs in shared run records whose intents were deferred from the last write to the next
 * one. Each job with an intent requires a precondition on its final state, and the number of
 * preconditions in a transaction is limited.
 */
final class DeferredIntents {

    /** Preconditions that each transaction uses for the leader key. */
    private static final int LEADER_PRECONDITIONS = 1;

    private final LiveAttempts liveAttempts;
    private final TransactionLimits limits;
    private final Set<String> deferredJobs = new HashSet<>();

    DeferredIntents(LiveAttempts liveAttempts, TransactionLimits limits) {
        this.liveAttempts = liveAttempts;
        this.limits = limits;
    }

    /**
     * Selects the jobs of one record whose intents exceed the precondition limit and are deferred
     * to the next write. Replaces the previous selection.
     */
    void deferExcess(Collection<Job> jobs) {
        int availablePreconditions =
                Math.max(
                        1,
                        limits.maxPreconditions() - TaskState.SPLIT_PARTS - LEADER_PRECONDITIONS);
        for (Job job : jobs) {
            deferredJobs.remove(job.spec.id());
            if (hasIntent(job) && availablePreconditions-- <= 0) {
                deferredJobs.add(job.spec.id());
            }
        }
    }

    /** Whether the job's intents are deferred to the next write. */
    boolean isDeferred(Job job) {
        return deferredJobs.contains(job.spec.id());
    }

    /** Whether the attempt is an intent that is deferred to the next write. */
    boolean isDeferred(Attempt attempt) {
        return isIntent(attempt) && isDeferred(attempt.job);
    }

    /**
     * Returns the keys of the final states that must not exist when the intents of these jobs
     * become durable. This prevents an intent after a cancellation that has taken effect but is not
     * yet in this leader's replica.
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
