package io.pepperfield.lifecycle;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.loop.Loop;

/**
 * Rebuilds one job and its attempts from the run records of earlier leaders. Whatever a record
 * calls live counts as possibly alive.
 */
final class JobRecovery {

    private final Fleet fleet;
    private final LiveAttempts liveAttempts;
    private final double now;
    private final long wallClockMs;

    JobRecovery(Fleet fleet, LiveAttempts ledger, Loop loop) {
        this.fleet = fleet;
        this.liveAttempts = ledger;
        this.now = loop.now();
        this.wallClockMs = loop.wallMs();
    }

    /** The job as its records say, or null where it has ended and nothing of it may be alive. */
    Job restore(JobRecord record) {
        double ageS = Math.max(0, (wallClockMs - record.spec().acceptedMs()) / 1000.0);
        Job job = new Job(record.spec(), now - ageS);
        if (record.finalStatus() != null) {
            job.finish(record.finalStatus(), record.lastKnownOpenAt());
        }
        boolean live = false;
        for (TaskState line : record.taskStates()) {
            live |= restore(job, line);
        }
        if (job.finalStatus() != null && !live) {
            return null;
        }
        if (job.doneTaskCount() > 0) {
            job.recordSuccess();
        }
        return job;
    }

    /** Takes one task's record; true where it names an attempt that may be alive. */
    private boolean restore(Job job, TaskState line) {
        boolean live = line.phase() == TaskState.Phase.LIVE;
        job.restoreAttempt(line.task(), line.attempt(), live);
        if (line.phase() == TaskState.Phase.DONE) {
            job.markDone(line.task());
        } else if (line.phase() == TaskState.Phase.FAILED) {
            // Or every change of leader would let a job that fails everywhere loose on the fleet
            // once more.
            job.recordEarlierFailure();
        } else if (live) {
            restoreAttempt(job, line);
        }
        return live;
    }

    private void restoreAttempt(Job job, TaskState line) {
        Attempt attempt =
                fleet.restoreAttempt(
                        job, line.task(), line.attempt(), line.machine(), line.incarnation(), now);
        liveAttempts.add(attempt);
        if (job.finalStatus() != null) {
            fleet.requestStop(attempt, 0);
        }
    }
}
