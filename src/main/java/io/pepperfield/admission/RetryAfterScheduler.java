package io.pepperfield.admission;

import io.pepperfield.admission.RefusedSubmissions.Generation;

/**
 * Computes the Retry-After times of refused jobs and records them, so that a job that is retried at
 * its time is admitted before first submissions.
 */
final class RetryAfterScheduler {

    /** Longest Retry-After in seconds that clients comply with. */
    static final int MAX_RETRY_AFTER_S = 30;

    /** Duration of a generation of refused jobs: longer than the longest Retry-After. */
    private static final double GENERATION_S = MAX_RETRY_AFTER_S + 5;

    /** Bounds the heap used by refused jobs to about 1 MB in total. */
    private static final int MAX_REFUSED_PER_GENERATION = 16_384;

    /**
     * A request for the admission of a job.
     *
     * @param refusedIn the generation in which the job was last refused
     * @param dueRetry whether this is a retry of a refused job whose retry time has been reached
     */
    record SubmissionAttempt(long fingerprint, Generation refusedIn, boolean dueRetry) {}

    private final RefusedSubmissions refusedSubmissions =
            new RefusedSubmissions(MAX_REFUSED_PER_GENERATION);
    private final RetrySchedule burstRetries = new RetrySchedule();
    private final int shortRetrySpreadS;
    private int shortRetryOffsetS;
    private double rotatedAt;

    /**
     * @param allotmentDurationS time within which the next allotment is expected
     */
    RetryAfterScheduler(double allotmentDurationS, double now) {
        this.shortRetrySpreadS = (int) Math.ceil(allotmentDurationS + 1);
        this.rotatedAt = now;
    }

    /** Looks up whether a job has been refused before and whether its retry is due. */
    SubmissionAttempt lookUp(String jobId, double now) {
        long fingerprint = RefusedSubmissions.fingerprint(jobId);
        Generation refusedIn = refusedSubmissions.generationOf(fingerprint);
        boolean refusedBefore = refusedIn != Generation.NONE;
        return new SubmissionAttempt(
                fingerprint,
                refusedIn,
                refusedBefore && refusedSubmissions.retryDueAt(fingerprint) <= now);
    }

    /** Removes the record of a job that has been admitted. */
    void discard(SubmissionAttempt attempt) {
        refusedSubmissions.remove(attempt.fingerprint());
    }

    /**
     * Records the refusal of a job that can probably be admitted under the next allotment: this
     * controller holds none, or the share of the class meets its demand. Retries are spread over
     * the time within which the next allotment is expected.
     *
     * @return Retry-After in seconds
     */
    double retryAfterNextAllotment(WorkloadClassState classState, SubmissionAttempt attempt) {
        recordRefused(classState, attempt, Double.POSITIVE_INFINITY);
        shortRetryOffsetS = (shortRetryOffsetS + 1) % shortRetrySpreadS;
        return 1 + shortRetryOffsetS;
    }

    /**
     * Records the refusal of a job of a limited class and reserves a retry time for the job.
     *
     * @param totalRatePerS rate at which jobs of all classes are admitted
     * @return Retry-After in seconds
     */
    double scheduleRetry(
            WorkloadClassState classState,
            SubmissionAttempt attempt,
            double totalRatePerS,
            double now) {
        double retryAt = retryAt(classState, attempt, totalRatePerS, now);
        recordRefused(classState, attempt, retryAt);
        return Math.min(MAX_RETRY_AFTER_S, retryAt - now);
    }

    private void recordRefused(
            WorkloadClassState classState, SubmissionAttempt attempt, double retryAt) {
        if (refusedSubmissions.tryRecord(attempt.fingerprint(), retryAt)) {
            classState.recordRefused(attempt.refusedIn());
        }
    }

    /** Returns the pending retry time of the job if it has one, otherwise the next free time. */
    private double retryAt(
            WorkloadClassState classState,
            SubmissionAttempt attempt,
            double totalRatePerS,
            double now) {
        double pendingRetryAt = refusedSubmissions.retryDueAt(attempt.fingerprint());
        if (pendingRetryAt > now && Double.isFinite(pendingRetryAt)) {
            return pendingRetryAt;
        }
        // If all refused jobs can be admitted at the total rate within the longest Retry-After,
        // they are a short burst and are retried at that rate, however small the share of their
        // class is.
        boolean burst = refusedSubmissions.size() <= MAX_RETRY_AFTER_S * totalRatePerS;
        RetrySchedule schedule = burst ? burstRetries : classState.retrySchedule;
        double ratePerS = burst ? totalRatePerS : classState.bucket.ratePerS();
        double slotAt = schedule.nextSlotAt(now, ratePerS);
        if (slotAt - now > MAX_RETRY_AFTER_S) {
            // Clients do not wait that long: the job gets a retry time at its next submission.
            return Double.POSITIVE_INFINITY;
        }
        schedule.reserveNextSlot(now, ratePerS);
        return now + Math.ceil(slotAt - now);
    }

    /** Starts a new generation of refused jobs if one is due; returns whether it did so. */
    boolean rotateIfDue(double now) {
        if (now - rotatedAt < GENERATION_S) {
            return false;
        }
        rotatedAt = now;
        refusedSubmissions.rotate();
        return true;
    }
}
