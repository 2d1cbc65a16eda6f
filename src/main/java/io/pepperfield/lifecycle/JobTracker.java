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
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.PriorityInheritance;
import io.pepperfield.jobs.SharedRunRecords;
import io.pepperfield.jobs.Status;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's jobs with the attempts at their tasks, from the first intent to the final state, and
 * the durable records of both. An intent is durable before its order may leave, and a completion
 * before its machine may forget it.
 */
public final class JobTracker implements Dispatcher.AttemptControl {

    private static final Logger LOG = LoggerFactory.getLogger(JobTracker.class);
    private static final Runnable NO_EFFECT = () -> {};

    private final Loop loop;
    private final Replica replica;
    private final JobIndex jobIndex;
    private final FencedWriter writer;
    private final Fleet fleet;
    private final DirectOrders directOrders;
    private final Runnable onWorkChanged;
    private final double heartbeatIntervalS;
    private final double billingUnitS;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final PriorityInheritance priorityInheritance =
            new PriorityInheritance((id, rank) -> jobs.get(id).setEffectivePriority(rank));
    private final LiveAttempts liveAttempts = new LiveAttempts();
    private final RunRecordStore runRecords;

    private boolean stopped;

    /**
     * @param token this leadership's token
     * @param workChanged to be run when what waits or what may be alive has changed
     */
    public JobTracker(
            Loop loop,
            Settings settings,
            DurableState durable,
            FencingToken token,
            Fleet fleet,
            DirectOrders direct,
            Runnable workChanged) {
        this.loop = loop;
        this.replica = durable.replica();
        this.jobIndex = durable.jobIndex();
        this.writer = durable.writer();
        this.fleet = fleet;
        this.directOrders = direct;
        this.onWorkChanged = workChanged;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.billingUnitS = settings.operators().billingUnitS();
        int linesInRecord = 2 * settings.deployment().storeLimits().maxTransactionOps();
        SharedRunRecords shared = new SharedRunRecords(token, linesInRecord);
        this.runRecords =
                new RunRecordStore(
                        writer, replica, liveAttempts, shared, durable.transactionLimits());
    }

    /** The jobs that have not ended or may still have something alive, by id. */
    public Map<String, Job> jobs() {
        return jobs;
    }

    /** What may be alive, by job and by team. */
    public LiveAttempts liveAttempts() {
        return liveAttempts;
    }

    /** The leadership has ended: what becomes durable from now on starts nothing. */
    public void stop() {
        stopped = true;
    }

    // ---- taking over

    /** Reads all jobs from the replica, which must hold what earlier leaders have written. */
    public void restoreAll() {
        JobRecovery recovery = new JobRecovery(fleet, liveAttempts, loop);
        for (JobRecord record : jobIndex.all()) {
            boolean skipped = record.finalStatus() == Status.DONE || record.unreadable();
            Job job = skipped ? null : recovery.restore(record);
            if (job != null) {
                jobs.put(job.spec.id(), job);
                finishIfAllDone(job, NO_EFFECT);
            }
        }
        runRecords.restore(jobIndex.jobsBySharedRecord(), jobs);
        jobs.values().stream()
                .filter(job -> job.finalStatus() == null)
                .forEach(job -> trackDependencies(job, jobIndex.get(job.spec.id())));
    }

    // ---- what the replica brings

    /** The replica brought a new job or a final state. */
    public void jobChanged(String id) {
        JobRecord record = jobIndex.get(id);
        if (record == null || record.unreadable()) {
            return;
        }
        Job job = jobs.get(id);
        if (record.finalStatus() != null) {
            if (job != null && job.finalStatus() == null) {
                jobEnded(job, record.finalStatus());
            }
        } else if (job == null) {
            accept(record);
        } else if (job.isAwaitingDependencies() && record.ready()) {
            job.dependenciesDone(readyAt(record));
            onWorkChanged.run();
        }
    }

    private void accept(JobRecord record) {
        Job job = new Job(record.spec(), loop.now());
        jobs.put(record.spec().id(), job);
        trackDependencies(job, record);
        onWorkChanged.run();
    }

    /** A job that is not over waits for those that it needs, and lends them its rank. */
    private void trackDependencies(Job job, JobRecord record) {
        if (!record.ready()) {
            job.awaitDependencies();
        } else if (!job.spec.dependencies().isEmpty()) {
            job.dependenciesDone(readyAt(record));
        }
        priorityInheritance.added(job.spec);
    }

    /** By this leader's clock; now where the final states, by an older version, do not say. */
    private double readyAt(JobRecord record) {
        long sinceMs =
                record.readyMs().isPresent() ? loop.wallMs() - record.readyMs().getAsLong() : 0;
        return loop.now() - Math.max(0, sinceMs / 1000.0);
    }

    // ---- attempts

    /** Intends the attempt; its run order leaves once the intent is durable. */
    @Override
    public void start(Job job, int task, Machine machine) {
        Attempt attempt =
                fleet.intendAttempt(job, task, job.startAttempt(task), machine, loop.now());
        liveAttempts.add(attempt);
        boolean bestEffort = job.effectiveSpec().priority() == JobSpec.Priority.BEST_EFFORT;
        FencedWriter.Priority priority =
                bestEffort ? FencedWriter.Priority.BATCHED : FencedWriter.Priority.INTENT;
        runRecords.markChanged(job, task, priority, () -> sendRunOrder(attempt));
    }

    private void sendRunOrder(Attempt attempt) {
        if (!stopped && fleet.intentIsDurable(attempt)) {
            directOrders.enqueue(attempt);
        }
    }

    @Override
    public void stop(Attempt attempt, double drainS) {
        fleet.requestStop(attempt, drainS);
        directOrders.enqueue(attempt);
    }

    /** A worker reports the attempt completed; true where its job was still open. */
    public boolean attemptCompleted(Attempt attempt) {
        Job job = attempt.job;
        liveAttempts.remove(attempt);
        onWorkChanged.run();
        if (job.finalStatus() != null) {
            attempt.acknowledge();
            removeIfFinished(job);
            return false;
        }
        job.markDone(attempt.task);
        job.recordSuccess();
        // Done must be durable before the machine may forget it, or a later leader would run the
        // task again.
        if (allDone(job) && runRecords.sharesRecord(job)) {
            // The final state says it as well, and spares the record that others share a change for
            // each of them.
            finishIfAllDone(job, attempt::acknowledge);
        } else {
            runRecords.markChanged(
                    job, attempt.task, FencedWriter.Priority.BACKGROUND, attempt::acknowledge);
            finishIfAllDone(job, NO_EFFECT);
        }
        return true;
    }

    /** The attempt is proven gone without being completed; its task waits again. */
    public void attemptGone(Attempt attempt, Heartbeat.Cause cause) {
        Job job = attempt.job;
        liveAttempts.remove(attempt);
        onWorkChanged.run();
        boolean failed = cause == Heartbeat.Cause.ERROR || cause == Heartbeat.Cause.NO_SUCH;
        if (failed) {
            countFailure(attempt, cause);
        }
        if (blamesMachine(job, cause, failed)) {
            attempt.machine.quarantine(loop.now() + 2 * heartbeatIntervalS);
        }
        if (failed) {
            job.markFailed(attempt.task);
        }
        job.requeue(attempt.task);
        runRecords.markChanged(job, attempt.task, FencedWriter.Priority.BACKGROUND, null);
        removeIfFinished(job);
    }

    private void countFailure(Attempt attempt, Heartbeat.Cause cause) {
        // One line for a job: the tasks of a broken array fail by the hundred.
        LOG.debug(
                "{} attempt {} failed on {}: {}",
                attempt.taskRef,
                attempt.number,
                attempt.machine.describe(),
                cause);
        Job job = attempt.job;
        if (job.recordFailure(attempt.machine.name, loop.now(), heartbeatIntervalS, billingUnitS)) {
            LOG.info(
                    "{} has failed on {} and is tried one task at a time until one is completed",
                    job.spec.id(),
                    job.failedMachines());
        }
    }

    /**
     * Whether the end of an attempt speaks against its machine. What fails of a job that nowhere
     * succeeded says nothing about the machine: several broken jobs would idle the fleet.
     */
    private static boolean blamesMachine(Job job, Heartbeat.Cause cause, boolean failed) {
        if (failed) {
            return job.doneTaskCount() > 0;
        }
        return cause != Heartbeat.Cause.STOPPED && cause != Heartbeat.Cause.OTHER;
    }

    // ---- final states

    private static boolean allDone(Job job) {
        return job.finalStatus() == null && !job.spec.isService() && job.allDone();
    }

    private void finishIfAllDone(Job job, Runnable settle) {
        if (!allDone(job)) {
            return;
        }
        String key = Keys.FINAL_STATE_PREFIX + job.spec.id();
        long doneMs = loop.wallMs();
        writer.enqueueOnce(
                key,
                FencedWriter.Priority.FINAL_STATE,
                () -> JobCodec.encodeDone(doneMs),
                () -> {
                    settle.run();
                    jobEnded(job, Status.DONE);
                },
                () -> {
                    settle.run();
                    jobEnded(
                            job,
                            JobCodec.decodeFinalStatus(replica.find(key).orElseThrow().value()));
                });
    }

    private void jobEnded(Job job, Status end) {
        job.finish(end, jobIndex.get(job.spec.id()).lastKnownOpenAt());
        priorityInheritance.removed(job.spec);
        if (end == Status.DONE) {
            runRecords.dropPending(job);
        }
        for (Attempt attempt : liveAttempts.snapshot(job)) {
            stop(attempt, 0);
        }
        removeIfFinished(job);
        onWorkChanged.run();
    }

    private void removeIfFinished(Job job) {
        if (job.finalStatus() != null && !liveAttempts.hasAny(job)) {
            jobs.remove(job.spec.id());
            runRecords.jobFinished(job);
        }
    }
}
