package io.pepperfield.lifecycle;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.loop.Loop;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rebuilds jobs and their attempts at failover from the run records of earlier leaders. Every
 * attempt that is recorded as live is treated as possibly live. Confined to the event loop.
 */
final class JobRecovery {

    private static final Logger LOG = LoggerFactory.getLogger(JobRecovery.class);

    private final Fleet fleet;
    private final LiveAttempts liveAttempts;
    private final double now;
    private final long wallClockMs;

    JobRecovery(Fleet fleet, LiveAttempts liveAttempts, Loop loop) {
        this.fleet = fleet;
        this.liveAttempts = liveAttempts;
        this.now = loop.now();
        this.wallClockMs = loop.wallClockMs();
    }

    /** Returns the job as recorded; empty if it has ended and none of its attempts may be live. */
    Optional<Job> restore(JobRecord record) {
        double ageS = Math.max(0, (wallClockMs - record.spec().acceptedMs()) / 1000.0);
        Job job = new Job(record.spec(), now - ageS);
        if (record.finalStatus() != null) {
            job.finish(record.finalStatus(), record.lastKnownActiveAt());
        }
        boolean anyLive = false;
        for (TaskState state : record.taskStates()) {
            restoreTask(job, state);
            anyLive |= state.phase() == TaskState.Phase.LIVE;
        }
        if (job.finalStatus() != null && !anyLive) {
            return Optional.empty();
        }
        if (job.doneTaskCount() > 0) {
            job.recordSuccess();
        }
        if (job.finalStatus() == null && job.isCrashLooping()) {
            LOG.info("job is crash looping according to its run record: job={}", job.spec.id());
        }
        return Optional.of(job);
    }

    private void restoreTask(Job job, TaskState state) {
        boolean live = state.phase() == TaskState.Phase.LIVE;
        job.restoreAttempt(state.task(), state.attempt(), live);
        switch (state.phase()) {
            case DONE -> job.markDone(state.task());
            // Restores the failure: otherwise, after every failover, a job that fails on every
            // machine would again start many tasks at once.
            case FAILED -> job.restoreFailure(state.task());
            case LIVE -> restoreLiveAttempt(job, state);
            case GONE -> {
                // The task is pending again, like a task without a record.
            }
        }
    }

    private void restoreLiveAttempt(Job job, TaskState state) {
        Attempt attempt =
                fleet.restoreAttempt(
                        job,
                        state.task(),
                        state.attempt(),
                        state.machine(),
                        state.incarnation(),
                        now);
        liveAttempts.add(attempt);
        if (job.finalStatus() != null) {
            fleet.requestStop(attempt, 0);
        }
    }
}
