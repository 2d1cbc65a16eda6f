package io.pepperfield.lifecycle;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the end of an attempt means for its task, its job and its machine. A completion is durable
 * before the attempt's machine may forget it. Confined to the event loop.
 */
final class AttemptOutcomes {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptOutcomes.class);
    private static final Runnable NO_EFFECT = () -> {};

    /** Heartbeat intervals for which a machine takes no tasks after a failure of its own. */
    private static final double QUARANTINE_INTERVALS = 2;

    private final Loop loop;
    private final LiveAttempts liveAttempts;
    private final RunRecordStore runRecords;
    private final JobCompletion completion;
    private final Runnable onWorkChanged;
    private final double heartbeatIntervalS;
    private final double billingUnitS;

    /**
     * @param onWorkChanged to be run when what waits or what may be alive has changed
     */
    AttemptOutcomes(
            Loop loop,
            Settings settings,
            LiveAttempts liveAttempts,
            RunRecordStore runRecords,
            JobCompletion completion,
            Runnable onWorkChanged) {
        this.loop = loop;
        this.liveAttempts = liveAttempts;
        this.runRecords = runRecords;
        this.completion = completion;
        this.onWorkChanged = onWorkChanged;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.billingUnitS = settings.operators().billingUnitS();
    }

    /** A worker reports the attempt completed; true where its job was still open. */
    boolean handleCompletion(Attempt attempt) {
        Job job = attempt.job;
        liveAttempts.remove(attempt);
        onWorkChanged.run();
        if (job.finalStatus() != null) {
            attempt.acknowledge();
            completion.removeIfFinished(job);
            return false;
        }
        job.markDone(attempt.task);
        job.recordSuccess();
        recordCompletion(attempt);
        return true;
    }

    /**
     * Done must be durable before the machine may forget it, or a later leader would run the task
     * again.
     */
    private void recordCompletion(Attempt attempt) {
        Job job = attempt.job;
        if (JobCompletion.isAllDone(job) && runRecords.sharesRecord(job)) {
            // The final state says it as well, and spares the record that others share a change for
            // each of them.
            completion.finishIfAllDone(job, attempt::acknowledge);
            return;
        }
        runRecords.markChanged(
                job, attempt.task, FencedWriter.Priority.BACKGROUND, attempt::acknowledge);
        completion.finishIfAllDone(job, NO_EFFECT);
    }

    /** The attempt is proven gone without being completed; its task waits again. */
    void handleTermination(Attempt attempt, Heartbeat.Cause cause) {
        Job job = attempt.job;
        liveAttempts.remove(attempt);
        onWorkChanged.run();
        boolean failed = cause == Heartbeat.Cause.ERROR || cause == Heartbeat.Cause.NO_SUCH;
        if (failed) {
            recordFailure(attempt, cause);
        }
        if (indicatesMachineFault(job, cause, failed)) {
            attempt.machine.quarantine(loop.now() + QUARANTINE_INTERVALS * heartbeatIntervalS);
        }
        if (failed) {
            job.markFailed(attempt.task);
        }
        job.requeue(attempt.task);
        runRecords.markChanged(job, attempt.task, FencedWriter.Priority.BACKGROUND);
        completion.removeIfFinished(job);
    }

    private void recordFailure(Attempt attempt, Heartbeat.Cause cause) {
        // At debug level only: the tasks of a broken array fail by the hundred.
        LOG.debug(
                "attempt failed task={} attempt={} instance={} cause={}",
                attempt.taskRef,
                attempt.number,
                attempt.machine.describe(),
                cause);
        Job job = attempt.job;
        if (job.recordFailure(attempt.machine.name, loop.now(), heartbeatIntervalS, billingUnitS)) {
            LOG.info(
                    "job is crash looping and is tried one task at a time until one is completed:"
                            + " job={} failedInstances={}",
                    job.spec.id(),
                    job.failedMachines());
        }
    }

    /**
     * Whether the end of an attempt speaks against its machine. What fails of a job that nowhere
     * succeeded says nothing about the machine: several broken jobs would idle the fleet.
     */
    private static boolean indicatesMachineFault(Job job, Heartbeat.Cause cause, boolean failed) {
        if (failed) {
            return job.doneTaskCount() > 0;
        }
        return cause != Heartbeat.Cause.STOPPED && cause != Heartbeat.Cause.OTHER;
    }
}
