package io.pepperfield.node;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.loop.Loop;

/**
 * Rebuilds one job and its attempts from the run records of earlier leaders. Whatever a record
 * calls live counts as possibly alive.
 */
final class JobRecovery {

    private final Fleet fleet;
    private final Ledger ledger;
    private final double now;
    private final long wallMs;

    JobRecovery(Fleet fleet, Ledger ledger, Loop loop) {
        this.fleet = fleet;
        this.ledger = ledger;
        this.now = loop.now();
        this.wallMs = loop.wallMs();
    }

    /** The job as its records say, or null where it has ended and nothing of it may be alive. */
    Job restore(Catalog.Record record) {
        double ageS = Math.max(0, (wallMs - record.spec().acceptedMs()) / 1000.0);
        Job job = new Job(record.spec(), now - ageS);
        if (record.end() != null) {
            job.end(record.end(), record.openAsOf());
        }
        boolean live = false;
        for (RunRecord line : record.lines()) {
            live |= restore(job, line);
        }
        if (job.end() != null && !live) {
            return null;
        }
        if (job.doneCount() > 0) {
            job.succeeded();
        }
        return job;
    }

    /** Takes one task's record; true where it names an attempt that may be alive. */
    private boolean restore(Job job, RunRecord line) {
        boolean live = line.state() == RunRecord.State.LIVE;
        job.restore(line.task(), line.attempt(), live);
        if (line.state() == RunRecord.State.DONE) {
            job.markDone(line.task());
        } else if (line.state() == RunRecord.State.FAILED) {
            // Or every change of leader would let a job that fails everywhere loose on the fleet
            // once more.
            job.failedBefore();
        } else if (live) {
            restoreAttempt(job, line);
        }
        return live;
    }

    private void restoreAttempt(Job job, RunRecord line) {
        Attempt attempt =
                fleet.restore(job, line.task(), line.attempt(), line.machine(), line.tenure(), now);
        ledger.add(attempt);
        if (job.end() != null) {
            fleet.stop(attempt, 0);
        }
    }
}
