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
 * Applies the end of an attempt to its task, its job and its machine. A completion is made durable
 * before the machine is allowed to clear the attempt. Confined to the event loop.
 */
final class AttemptOutcomes {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptOutcomes.class);
    private static final Runnable NO_EFFECT = () -> {};

    /**
     * Heartbeat intervals for which a machine is assigned no tasks after a failure that it caused.
     */
    private static final double QUARANTINE_INTERVALS = 2;

    private final Loop loop;
    private final LiveAttempts liveAttempts;
    private final RunRecordStore runRecords;
    private final JobCompletion completion;
    private final Runnable onWorkChanged;
    private final double heartbeatIntervalS;
    private final double billingUnitS;

    /**
     * @param onWorkChanged run when the pending tasks or the live attempts have changed
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

    /**
     * Handles a completion reported by a worker.
     *
     * @return whether the job had not ended yet
     */
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
     * Acknowledges the attempt only once the completion is durable. If the machine cleared it
     * earlier, a later leader would run the task again.
     */
    private void recordCompletion(Attempt attempt) {
        Job job = attempt.job;
        if (JobCompletion.isAllDone(job) && runRecords.sharesRecord(job)) {
            // The final state also implies that this task is done, so the shared record is not
            // rewritten for each of its jobs.
            completion.finishIfAllDone(job, attempt::acknowledge);
            return;
        }
        runRecords.markChanged(
                job, attempt.task, FencedWriter.Priority.BACKGROUND, attempt::acknowledge);
        completion.finishIfAllDone(job, NO_EFFECT);
    }

    /**
     * Handles an attempt that is proven to have ended without completing; its task becomes pending
     * again.
     */
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
        // Debug level only: the tasks of a broken array job fail by the hundred.
        LOG.debug(
                "attempt failed task={} attempt={} instance={} cause={}",
                attempt.taskRef,
                attempt.number,
                attempt.machine.describe(),
                cause);
        Job job = attempt.job;
        if (job.recordFailure(attempt.machine.name, loop.now(), heartbeatIntervalS, billingUnitS)) {
            LOG.info(
                    "job is crash looping, running one task at a time until one completes:"
                            + " job={} failedInstances={}",
                    job.spec.id(),
                    job.failedMachines());
        }
    }

    /**
     * Whether the end of an attempt indicates a fault of its machine. Failures of a job that has
     * not completed a single task do not count: otherwise several broken jobs would quarantine the
     * whole fleet.
     */
    private static boolean indicatesMachineFault(Job job, Heartbeat.Cause cause, boolean failed) {
        if (failed) {
            return job.doneTaskCount() > 0;
        }
        return cause != Heartbeat.Cause.STOPPED && cause != Heartbeat.Cause.OTHER;
    }
}
