package io.pepperfield.admission;

/**
 * Lowers the admission rate while the state service throttles job creations: each interval with a
 * refusal multiplies the rate by a factor, down to a minimum; the rate then recovers over time.
 */
final class StoreBackoff {

    private static final double MIN_RATE_FACTOR = 0.25;
    private static final double DECREASE_FACTOR = 0.7;

    /** Time in seconds in which the rate recovers from zero to its full value. */
    private static final double RECOVERY_S = 10;

    private final double intervalS;
    private double rateFactor = 1;
    private double throttledAt = Double.NEGATIVE_INFINITY;

    /**
     * @param intervalS time in seconds within which several refusals count as one
     */
    StoreBackoff(double intervalS) {
        this.intervalS = intervalS;
    }

    /** Records a refusal by the state service; returns whether it lowered the rate. */
    boolean recordThrottled(double now) {
        if (now - throttledAt < intervalS) {
            return false;
        }
        rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor(now) * DECREASE_FACTOR);
        throttledAt = now;
        return true;
    }

    /** Returns the fraction of the rate that may be used, at most 1. */
    double rateFactor(double now) {
        return Math.min(1, rateFactor + Math.max(0, now - throttledAt) / RECOVERY_S);
    }
}
