package io.pepperfield.admission;

/**
 * Times at which refused jobs may come back: one after the other, at the rate at which they can be
 * admitted, so that they neither crowd at one moment nor leave the rate unused.
 */
final class RetrySchedule {

    private double lastGivenAt;

    /** The next free time, at that rate. */
    double next(double now, double ratePerS) {
        return ratePerS > 0 ? Math.max(now, lastGivenAt) + 1 / ratePerS : Double.POSITIVE_INFINITY;
    }

    /** The next free time is taken. */
    void give(double now, double ratePerS) {
        if (ratePerS > 0) {
            lastGivenAt = next(now, ratePerS);
        }
    }
}
