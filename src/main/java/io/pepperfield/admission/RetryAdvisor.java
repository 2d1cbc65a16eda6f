package io.pepperfield.admission;

import io.pepperfield.admission.RefusedSubmissions.Generation;

/**
 * Tells refused jobs when to come back, and remembers what it has told them: who comes back when
 * told goes before who comes for the first time.
 */
final class RetryAdvisor {

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
    record Attempt(long fingerprint, Generation seenIn, boolean comesWhenTold) {}

    private final RefusedSubmissions refusedSubmissions =
            new RefusedSubmissions(MAX_REFUSED_PER_GENERATION);
    private final RetrySchedule burstRetries = new RetrySchedule();
    private final int shortRetrySpreadS;
    private int shortRetryOffsetS;
    private double rotatedAt;

    /**
     * @param allotmentDurationS within it another allotment is there
     */
    RetryAdvisor(double allotmentDurationS, double now) {
        this.shortRetrySpreadS = (int) Math.ceil(allotmentDurationS + 1);
        this.rotatedAt = now;
    }

    Attempt attempt(String jobId, double now) {
        long fingerprint = RefusedSubmissions.fingerprint(jobId);
        Generation seenIn = refusedSubmissions.generationOf(fingerprint);
        boolean told = seenIn != Generation.NONE;
        return new Attempt(
                fingerprint, seenIn, told && refusedSubmissions.retryAt(fingerprint) <= now);
    }

    /** The job was admitted: nothing of it is kept. */
    void forget(Attempt attempt) {
        refusedSubmissions.forget(attempt.fingerprint());
    }

    /**
     * Without a leader's word, or for a class whose demand is about to be met, what is refused now
     * fits once the next allotment is there; spread over that time.
     *
     * @return seconds after which the job may come back
     */
    double refuseForNow(ClassAdmission classAdmission, Attempt attempt) {
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
    double refuseByShare(
            ClassAdmission classAdmission, Attempt attempt, double totalRatePerS, double now) {
        double retryAt = retryAt(classAdmission, attempt, totalRatePerS, now);
        remember(classAdmission, attempt, retryAt);
        return Math.min(MAX_RETRY_AFTER_S, retryAt - now);
    }

    private void remember(ClassAdmission classAdmission, Attempt attempt, double retryAt) {
        if (refusedSubmissions.remember(attempt.fingerprint(), retryAt)) {
            classAdmission.recordRefused(attempt.seenIn());
        }
    }

    /** The time that the job has been told before, or one after those that are told already. */
    private double retryAt(
            ClassAdmission classAdmission, Attempt attempt, double totalRatePerS, double now) {
        double toldBefore = refusedSubmissions.retryAt(attempt.fingerprint());
        if (toldBefore > now && Double.isFinite(toldBefore)) {
            return toldBefore;
        }
        // A burst is over as soon as all of it could have been admitted, however small the share of
        // each class is until then: its jobs come back one after the other at the whole rate.
        boolean burst = refusedSubmissions.size() <= MAX_RETRY_AFTER_S * totalRatePerS;
        RetrySchedule schedule = burst ? burstRetries : classAdmission.retrySchedule;
        double ratePerS = burst ? totalRatePerS : classAdmission.bucket.ratePerS();
        double free = schedule.nextFreeAt(now, ratePerS);
        if (free - now > MAX_RETRY_AFTER_S) {
            // So late nobody heeds: asked again then, it gets a time that can be kept.
            return Double.POSITIVE_INFINITY;
        }
        schedule.reserveNext(now, ratePerS);
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
