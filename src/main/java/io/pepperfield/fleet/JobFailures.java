package io.pepperfield.fleet;

import io.pepperfield.jobs.Job;
import java.util.HashSet;
import java.util.Set;

/** The jobs of which a task failed on one machine since a task of any job was completed there. */
final class JobFailures {

    /** So many jobs must have failed here and succeeded elsewhere. */
    private static final int MIN_FAILED_JOBS = 2;

    private final Set<Job> failedJobs = new HashSet<>();

    void add(Job job) {
        failedJobs.add(job);
    }

    /** A task was completed here. */
    void clear() {
        failedJobs.clear();
    }

    /** Whether several jobs failed here that succeed elsewhere, which speaks for a bad machine. */
    boolean indicateFaultyMachine() {
        return failedJobs.size() >= MIN_FAILED_JOBS
                && failedJobs.stream().filter(job -> job.doneTaskCount() > 0).count()
                        >= MIN_FAILED_JOBS;
    }
}
