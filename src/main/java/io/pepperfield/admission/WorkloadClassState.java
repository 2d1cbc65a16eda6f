package io.pepperfield.admission;

import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.admission.RefusedSubmissions.Generation;

/** What one controller keeps of one class: its token bucket, its demand and its counts. */
final class WorkloadClassState {

    /** Of demand seen before, in the running mean: four intervals. */
    private static final double DEMAND_SMOOTHING = 0.75;

    /** Arrivals come unevenly: what is asked for beyond their mean. */
    private static final double BURST_HEADROOM = 1.5;

    /** Jobs that have been refused are to be admitted within so many seconds. */
    private static final double BACKLOG_DRAIN_S = 10;

    final TokenBucket bucket;
    final RetrySchedule retrySchedule = new RetrySchedule();
    final MinuteCounter recentAdmissions = new MinuteCounter();
    final MinuteCounter recentRefusals = new MinuteCounter();

    /** Its demand is not met by its share. */
    boolean limited;

    private int newJobs;
    private double newJobsPerMinute;
    private int backlog;
    private int previousBacklog;

    WorkloadClassState(double now) {
        bucket = new TokenBucket(now);
    }

    /** A job of it asks; how it is remembered says whether it has asked before. */
    void recordRequest(Generation seenIn) {
        if (seenIn == Generation.NONE) {
            newJobs++;
        }
    }

    /** A job of it was refused and is remembered from now on. */
    void recordRefused(Generation seenIn) {
        if (seenIn != Generation.CURRENT) {
            backlog++;
        }
        if (seenIn == Generation.PREVIOUS) {
            previousBacklog--;
        }
    }

    /** A job of it was admitted, and is not remembered any more. */
    void recordAdmitted(Generation seenIn) {
        if (seenIn == Generation.CURRENT) {
            backlog--;
        } else if (seenIn == Generation.PREVIOUS) {
            previousBacklog--;
        }
    }

    /** Those that were not seen again for a generation are forgotten. */
    void rotateGeneration() {
        previousBacklog = backlog;
        backlog = 0;
    }

    /** An interval has ended. */
    void endInterval(double seconds) {
        double perMinute = newJobs * AdmissionLimits.SECONDS_PER_MINUTE / seconds;
        newJobsPerMinute = DEMAND_SMOOTHING * newJobsPerMinute + (1 - DEMAND_SMOOTHING) * perMinute;
        newJobs = 0;
    }

    /** Distinct jobs a minute that ask for admission. */
    double demandPerMinute() {
        int waiting = Math.max(0, backlog + previousBacklog);
        return BURST_HEADROOM * newJobsPerMinute
                + waiting * AdmissionLimits.SECONDS_PER_MINUTE / BACKLOG_DRAIN_S;
    }

    /** The figures that the leader is told. */
    ClassDemand demand(double now) {
        return new ClassDemand(
                demandPerMinute(), recentAdmissions.total(now), recentRefusals.total(now));
    }

    /** Nobody has asked for a while and nothing is counted. */
    boolean isIdle(double now) {
        return demandPerMinute() < 0.01
                && recentAdmissions.total(now) == 0
                && recentRefusals.total(now) == 0;
    }
}
