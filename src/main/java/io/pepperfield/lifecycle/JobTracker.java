package io.pepperfield.lifecycle;

import io.pepperfield.config.Settings;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.PriorityInheritance;
import io.pepperfield.jobs.SharedRunRecords;
import io.pepperfield.jobs.Status;
import io.pepperfield.loop.Loop;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's jobs and attempts, from the first intent to the final state, with their durable
 * records. This class tracks the set of jobs and their dependencies; {@link AttemptStarter} starts
 * and stops attempts, {@link AttemptOutcomes} handles their ends, and {@link JobCompletion} writes
 * final states. Confined to the event loop.
 */
public final class JobTracker implements Dispatcher.AttemptControl {

    private static final Runnable NO_EFFECT = () -> {};

    private final Loop loop;
    private final JobIndex jobIndex;
    private final Fleet fleet;
    private final Runnable onWorkChanged;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final PriorityInheritance priorityInheritance =
            new PriorityInheritance((id, priority) -> jobs.get(id).setEffectivePriority(priority));
    private final LiveAttempts liveAttempts;
    private final RunRecordStore runRecords;
    private final AttemptStarter attemptStarter;
    private final AttemptOutcomes attemptOutcomes;
    private final JobCompletion completion;

    /**
     * Creates the tracker of one term, without jobs.
     *
     * @param fencingToken fencing token of the term
     * @param onWorkChanged run when the pending tasks or the live attempts have changed
     */
    public JobTracker(
            Loop loop,
            Settings settings,
            DurableState durable,
            FencingToken fencingToken,
            Fleet fleet,
            DirectOrderSender directOrders,
            Runnable onWorkChanged) {
        this.loop = loop;
        this.jobIndex = durable.jobIndex();
        this.fleet = fleet;
        this.liveAttempts = fleet.liveAttempts();
        this.onWorkChanged = onWorkChanged;
        int tasksPerRecord = 2 * settings.deployment().storeLimits().maxTransactionOps();
        this.runRecords =
                new RunRecordStore(
                        durable, liveAttempts, new SharedRunRecords(fencingToken, tasksPerRecord));
        this.attemptStarter =
                new AttemptStarter(loop, fleet, liveAttempts, runRecords, directOrders);
        this.completion =
                new JobCompletion(
                        loop,
                        durable,
                        jobs,
                        liveAttempts,
                        runRecords,
                        priorityInheritance,
                        attemptStarter,
                        onWorkChanged);
        this.attemptOutcomes =
                new AttemptOutcomes(
                        loop, settings, liveAttempts, runRecords, completion, onWorkChanged);
    }

    /**
     * Returns a live view, by id, of the jobs that have not ended or may still have live attempts.
     */
    public Map<String, Job> jobs() {
        return jobs;
    }

    /** Returns the attempts that may be live, by job and by team. */
    public LiveAttempts liveAttempts() {
        return liveAttempts;
    }

    /** Ends the term: intents that become durable after this call start nothing. */
    public void stop() {
        attemptStarter.endTerm();
    }

    /** Restores all jobs from the replica, which must hold all writes of earlier leaders. */
    public void restoreAll() {
        JobRecovery recovery = new JobRecovery(fleet, liveAttempts, loop);
        for (JobRecord record : jobIndex.all()) {
            if (record.finalStatus() != Status.DONE && !record.unreadable()) {
                recovery.restore(record).ifPresent(this::addRestored);
            }
        }
        runRecords.restore(jobIndex.jobsBySharedRecord(), jobs);
        jobs.values().stream()
                .filter(job -> job.finalStatus() == null)
                .forEach(job -> trackDependencies(job, jobIndex.get(job.spec.id())));
    }

    private void addRestored(Job job) {
        jobs.put(job.spec.id(), job);
        completion.finishIfAllDone(job, NO_EFFECT);
    }

    /** Handles a new job or a final state received by the replica. */
    public void jobChanged(String id) {
        JobRecord record = jobIndex.get(id);
        if (record == null || record.unreadable()) {
            return;
        }
        Job job = jobs.get(id);
        if (record.finalStatus() != null) {
            if (job != null && job.finalStatus() == null) {
                completion.jobEnded(job, record.finalStatus());
            }
        } else if (job == null) {
            addNewJob(record);
        } else if (job.isAwaitingDependencies() && record.ready()) {
            job.markDependenciesDone(readyAt(record));
            onWorkChanged.run();
        }
    }

    private void addNewJob(JobRecord record) {
        Job job = new Job(record.spec(), loop.now());
        jobs.put(record.spec().id(), job);
        trackDependencies(job, record);
        onWorkChanged.run();
    }

    /**
     * Tracks whether the job awaits its dependencies, and registers it for priority inheritance.
     */
    private void trackDependencies(Job job, JobRecord record) {
        if (!record.ready()) {
            job.awaitDependencies();
        } else if (!job.spec.dependencies().isEmpty()) {
            job.markDependenciesDone(readyAt(record));
        }
        priorityInheritance.add(job.spec);
    }

    /**
     * Returns the loop time at which the dependencies were done; the current time if the final
     * states, written by an older version, do not record it.
     */
    private double readyAt(JobRecord record) {
        long sinceMs =
                record.readyMs().isPresent()
                        ? loop.wallClockMs() - record.readyMs().getAsLong()
                        : 0;
        return loop.now() - Math.max(0, sinceMs / 1000.0);
    }

    /** Records the intent of an attempt; its run order is sent once the intent is durable. */
    @Override
    public void start(Job job, int task, Machine machine) {
        attemptStarter.start(job, task, machine);
    }

    @Override
    public void stop(Attempt attempt, double gracePeriodS) {
        attemptStarter.stop(attempt, gracePeriodS);
    }

    /**
     * Handles a completion reported by a worker.
     *
     * @return whether the job had not ended yet
     */
    public boolean attemptCompleted(Attempt attempt) {
        return attemptOutcomes.handleCompletion(attempt);
    }

    /**
     * Handles an attempt that is proven to have ended without completing; its task becomes pending
     * again.
     */
    public void attemptTerminated(Attempt attempt, Heartbeat.Cause cause) {
        attemptOutcomes.handleTermination(attempt, cause);
    }
}
