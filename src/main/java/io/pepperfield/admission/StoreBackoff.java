package io.pepperfield.admission;

/**
 * Lowers the admission rate while the state service refuses jobs as beyond its rate: each interval
 * with a refusal decreases it by a factor, down to a part of it; it recovers with time.
 */
final class StoreBackoff {

    private static final double MIN_RATE_FACTOR = 0.25;
    private static final double DECREASE_FACTOR = 0.7;
    private static final double RECOVERY_S = 10;

    private final double intervalS;
    private double rateFactor = 1;
    private double throttledAt = Double.NEGATIVE_INFINITY;

    /**
     * @param intervalS refusals within it count as one
     */
    StoreBackoff(double intervalS) {
        this.intervalS = intervalS;
    }

    /** Takes a refusal; whether the rate is lower now. */
    boolean recordThrottled(double now) {
        if (now - throttledAt < intervalS) {
            return false;
        }
        rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor(now) * DECREASE_FACTOR);
        throttledAt = now;
        return true;
    }

    /** The part of the rate that may be used, at most 1. */
    double rateFactor(double now) {
        return Math.min(1, rateFactor + Math.max(0, now - throttledAt) / RECOVERY_S);
    }
}
