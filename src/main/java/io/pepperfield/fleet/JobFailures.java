package io.pepperfield.fleet;

import io.pepperfield.jobs.Job;
import java.util.HashSet;
import java.util.Set;

/** The jobs that had a task fail on one machine since any task last completed there. */
final class JobFailures {

    /** Minimum number of jobs that failed on this machine and completed tasks elsewhere. */
    private static final int MIN_FAILED_JOBS = 2;

    private final Set<Job> failedJobs = new HashSet<>();

    void add(Job job) {
        failedJobs.add(job);
    }

    /** Resets the record after a task has completed on the machine. */
    void clear() {
        failedJobs.clear();
    }

    /**
     * Whether several jobs failed here that complete tasks elsewhere, a sign of a faulty machine.
     */
    boolean indicateFaultyMachine() {
        return failedJobs.size() >= MIN_FAILED_JOBS
                && failedJobs.stream().filter(job -> job.doneTaskCount() > 0).count()
                        >= MIN_FAILED_JOBS;
    }
}
