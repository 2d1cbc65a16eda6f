package io.pepperfield.admission;

import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.admission.RefusedSubmissions.Generation;

/** One controller's state of one workload class: token bucket, demand and counts. */
final class WorkloadClassState {

    /**
     * Weight of earlier intervals in the moving average of demand, which spans about four
     * intervals.
     */
    private static final double DEMAND_SMOOTHING = 0.75;

    /** Factor by which demand is reported above the mean arrival rate, as arrivals are bursty. */
    private static final double BURST_HEADROOM_FACTOR = 1.5;

    /** Time in seconds within which the backlog of refused jobs is to be admitted. */
    private static final double BACKLOG_DRAIN_S = 10;

    final TokenBucket bucket;
    final RetrySchedule retrySchedule = new RetrySchedule();
    final MinuteCounter recentAdmissions = new MinuteCounter();
    final MinuteCounter recentRefusals = new MinuteCounter();

    /** Whether the share of the class does not meet its demand. */
    boolean limited;

    private int newJobs;
    private double newJobsPerMinute;
    private int backlog;
    private int previousGenerationBacklog;

    WorkloadClassState(double now) {
        bucket = new TokenBucket(now);
    }

    /**
     * Counts a submission of this class as new demand unless the job was refused before.
     *
     * @param refusedIn the generation in which the job was last refused
     */
    void recordRequest(Generation refusedIn) {
        if (refusedIn == Generation.NONE) {
            newJobs++;
        }
    }

    /** Adds a refused job, recorded in the current generation, to the backlog. */
    void recordRefused(Generation refusedIn) {
        if (refusedIn != Generation.CURRENT) {
            backlog++;
        }
        if (refusedIn == Generation.PREVIOUS) {
            previousGenerationBacklog--;
        }
    }

    /** Removes an admitted job from the backlog. */
    void recordAdmitted(Generation refusedIn) {
        if (refusedIn == Generation.CURRENT) {
            backlog--;
        } else if (refusedIn == Generation.PREVIOUS) {
            previousGenerationBacklog--;
        }
    }

    /**
     * Starts a new generation; drops the jobs that were not refused again for a whole generation.
     */
    void rotateGeneration() {
        previousGenerationBacklog = backlog;
        backlog = 0;
    }

    /** Updates the moving average of demand at the end of an interval. */
    void endInterval(double seconds) {
        double perMinute = newJobs * AdmissionLimits.SECONDS_PER_MINUTE / seconds;
        newJobsPerMinute = DEMAND_SMOOTHING * newJobsPerMinute + (1 - DEMAND_SMOOTHING) * perMinute;
        newJobs = 0;
    }

    /** Returns the distinct jobs per minute that request admission. */
    double demandPerMinute() {
        int refusedJobs = Math.max(0, backlog + previousGenerationBacklog);
        return BURST_HEADROOM_FACTOR * newJobsPerMinute
                + refusedJobs * AdmissionLimits.SECONDS_PER_MINUTE / BACKLOG_DRAIN_S;
    }

    /** Returns the demand and counts to report to the leader. */
    ClassDemand demand(double now) {
        return new ClassDemand(
                demandPerMinute(), recentAdmissions.total(now), recentRefusals.total(now));
    }

    /** Whether the class has neither demand nor admissions or refusals in the last minute. */
    boolean isIdle(double now) {
        return demandPerMinute() < 0.01
                && recentAdmissions.total(now) == 0
                && recentRefusals.total(now) == 0;
    }
}
