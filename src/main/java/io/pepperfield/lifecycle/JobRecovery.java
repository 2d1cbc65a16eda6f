package io.pepperfield.lifecycle;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.loop.Loop;
import java.util.Optional;

/**
 * Rebuilds jobs and their attempts at failover from the run records of earlier leaders. Whatever a
 * record calls live counts as possibly alive. Confined to the event loop.
 */
final class JobRecovery {

    private final Fleet fleet;
    private final LiveAttempts liveAttempts;
    private final double now;
    private final long wallClockMs;

    JobRecovery(Fleet fleet, LiveAttempts liveAttempts, Loop loop) {
        this.fleet = fleet;
        this.liveAttempts = liveAttempts;
        this.now = loop.now();
        this.wallClockMs = loop.wallMs();
    }

    /** The job as its records say; empty where it has ended and nothing of it may be alive. */
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
        return Optional.of(job);
    }

    private void restoreTask(Job job, TaskState state) {
        boolean live = state.phase() == TaskState.Phase.LIVE;
        job.restoreAttempt(state.task(), state.attempt(), live);
        switch (state.phase()) {
            case DONE -> job.markDone(state.task());
            // Or every failover would let a job that fails everywhere loose on the fleet once more.
            case FAILED -> job.restoreFailure();
            case LIVE -> restoreLiveAttempt(job, state);
            case GONE -> {
                // The task waits again, as does one without a record.
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
