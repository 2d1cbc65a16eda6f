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
 * The leader's jobs with the attempts at their tasks, from the first intent to the final state, and
 * the durable records of both: which jobs there are and what they wait for is decided here, starts
 * and stops by {@link AttemptStarter}, ends of attempts by {@link AttemptOutcomes}, final states by
 * {@link JobCompletion}. Confined to the event loop.
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
    private final LiveAttempts liveAttempts = new LiveAttempts();
    private final RunRecordStore runRecords;
    private final AttemptStarter attemptStarter;
    private final AttemptOutcomes attemptOutcomes;
    private final JobCompletion completion;

    /**
     * Creates the tracker of one term, without jobs.
     *
     * @param fencingToken of the term
     * @param onWorkChanged to be run when what waits or what may be alive has changed
     */
    public JobTracker(
            Loop loop,
            Settings settings,
            DurableState durable,
            FencingToken fencingToken,
            Fleet fleet,
            DirectOrders directOrders,
            Runnable onWorkChanged) {
        this.loop = loop;
        this.jobIndex = durable.jobIndex();
        this.fleet = fleet;
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

    /** The jobs that have not ended or may still have an attempt alive, by id; a live view. */
    public Map<String, Job> jobs() {
        return jobs;
    }

    /** The attempts that may be alive, by job and by team. */
    public LiveAttempts liveAttempts() {
        return liveAttempts;
    }

    /** The term has ended: what becomes durable from now on starts nothing. */
    public void stop() {
        attemptStarter.endTerm();
    }

    /** Reads all jobs from the replica, which must hold what earlier leaders have written. */
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

    /** The replica brought a new job or a final state. */
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
            accept(record);
        } else if (job.isAwaitingDependencies() && record.ready()) {
            job.markDependenciesDone(readyAt(record));
            onWorkChanged.run();
        }
    }

    private void accept(JobRecord record) {
        Job job = new Job(record.spec(), loop.now());
        jobs.put(record.spec().id(), job);
        trackDependencies(job, record);
        onWorkChanged.run();
    }

    /** An open job waits for its dependencies, and lends them its priority. */
    private void trackDependencies(Job job, JobRecord record) {
        if (!record.ready()) {
            job.awaitDependencies();
        } else if (!job.spec.dependencies().isEmpty()) {
            job.markDependenciesDone(readyAt(record));
        }
        priorityInheritance.add(job.spec);
    }

    /** By this leader's clock; now where the final states, by an older version, do not say. */
    private double readyAt(JobRecord record) {
        long sinceMs =
                record.readyMs().isPresent() ? loop.wallMs() - record.readyMs().getAsLong() : 0;
        return loop.now() - Math.max(0, sinceMs / 1000.0);
    }

    /** Intends the attempt; its run order leaves once the intent is durable. */
    @Override
    public void start(Job job, int task, Machine machine) {
        attemptStarter.start(job, task, machine);
    }

    @Override
    public void stop(Attempt attempt, double gracePeriodS) {
        attemptStarter.stop(attempt, gracePeriodS);
    }

    /** A worker reports the attempt completed; true where its job was still open. */
    public boolean attemptCompleted(Attempt attempt) {
        return attemptOutcomes.completed(attempt);
    }

    /** The attempt is proven gone without being completed; its task waits again. */
    public void attemptGone(Attempt attempt, Heartbeat.Cause cause) {
        attemptOutcomes.gone(attempt, cause);
    }
}
