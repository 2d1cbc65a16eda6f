package io.pepperfield.admission;

import io.pepperfield.admission.RefusedSubmissions.Generation;

/**
 * Tells refused jobs when to come back, and remembers what it has told them: who comes back when
 * told goes before who comes for the first time.
 */
final class RetryAfterScheduler {

    /** Users heed a time to come back up to so many seconds. */
    static final int MAX_RETRY_AFTER_S = 30;

    /** A generation of refused jobs: longer than the longest time that a user is told. */
    private static final double GENERATION_S = MAX_RETRY_AFTER_S + 5;

    /** About a megabyte in all: the heap of a controller is bounded. */
    private static final int MAX_REFUSED_PER_GENERATION = 16_384;

    /**
     * A job that asks for admission.
     *
     * @param seenIn whether it has been refused before
     * @param comesWhenTold whether it was told a time that has come
     */
    record SubmissionAttempt(long fingerprint, Generation refusedIn, boolean dueRetry) {}

    private final RefusedSubmissions refusedSubmissions =
            new RefusedSubmissions(MAX_REFUSED_PER_GENERATION);
    private final RetrySchedule burstRetries = new RetrySchedule();
    private final int shortRetrySpreadS;
    private int shortRetryOffsetS;
    private double rotatedAt;

    /**
     * @param allotmentDurationS within it another allotment is there
     */
    RetryAfterScheduler(double allotmentDurationS, double now) {
        this.shortRetrySpreadS = (int) Math.ceil(allotmentDurationS + 1);
        this.rotatedAt = now;
    }

    SubmissionAttempt lookUp(String jobId, double now) {
        long fingerprint = RefusedSubmissions.fingerprint(jobId);
        Generation seenIn = refusedSubmissions.generationOf(fingerprint);
        boolean told = seenIn != Generation.NONE;
        return new SubmissionAttempt(
                fingerprint, seenIn, told && refusedSubmissions.retryDueAt(fingerprint) <= now);
    }

    /** The job was admitted: nothing of it is kept. */
    void discard(SubmissionAttempt attempt) {
        refusedSubmissions.remove(attempt.fingerprint());
    }

    /**
     * Without a leader's word, or for a class whose demand is about to be met, what is refused now
     * fits once the next allotment is there; spread over that time.
     *
     * @return seconds after which the job may come back
     */
    double retryAfterNextAllotment(WorkloadClassState classAdmission, SubmissionAttempt attempt) {
        remember(classAdmission, attempt, Double.POSITIVE_INFINITY);
        shortRetryOffsetS = (shortRetryOffsetS + 1) % shortRetrySpreadS;
        return 1 + shortRetryOffsetS;
    }

    /**
     * Refuses a job of a class that keeps to its share.
     *
     * @param totalRatePerS at which jobs of all classes are admitted
     * @return seconds after which the job may come back
     */
    double scheduleRetry(
            WorkloadClassState classAdmission,
            SubmissionAttempt attempt,
            double totalRatePerS,
            double now) {
        double retryAt = retryAt(classAdmission, attempt, totalRatePerS, now);
        remember(classAdmission, attempt, retryAt);
        return Math.min(MAX_RETRY_AFTER_S, retryAt - now);
    }

    private void remember(
            WorkloadClassState classAdmission, SubmissionAttempt attempt, double retryAt) {
        if (refusedSubmissions.tryRecord(attempt.fingerprint(), retryAt)) {
            classAdmission.recordRefused(attempt.refusedIn());
        }
    }

    /** The time that the job has been told before, or one after those that are told already. */
    private double retryAt(
            WorkloadClassState classAdmission,
            SubmissionAttempt attempt,
            double totalRatePerS,
            double now) {
        double toldBefore = refusedSubmissions.retryDueAt(attempt.fingerprint());
        if (toldBefore > now && Double.isFinite(toldBefore)) {
            return toldBefore;
        }
        // A burst is over as soon as all of it could have been admitted, however small the share of
        // each class is until then: its jobs come back one after the other at the whole rate.
        boolean burst = refusedSubmissions.size() <= MAX_RETRY_AFTER_S * totalRatePerS;
        RetrySchedule schedule = burst ? burstRetries : classAdmission.retrySchedule;
        double ratePerS = burst ? totalRatePerS : classAdmission.bucket.ratePerS();
        double free = schedule.nextSlotAt(now, ratePerS);
        if (free - now > MAX_RETRY_AFTER_S) {
            // So late nobody heeds: asked again then, it gets a time that can be kept.
            return Double.POSITIVE_INFINITY;
        }
        schedule.reserveNextSlot(now, ratePerS);
        return now + Math.ceil(free - now);
    }

    /** Begins another generation of refused jobs where it is time to; whether it has. */
    boolean rotateIfDue(double now) {
        if (now - rotatedAt < GENERATION_S) {
            return false;
        }
        rotatedAt = now;
        refusedSubmissions.rotate();
        return true;
    }
}
