package io.pepperfield.admission;

/**
 * Assigns retry times to refused jobs, spaced at the rate at which jobs can be admitted, so that
 * retries neither arrive all at once nor leave the rate unused.
 */
final class RetrySchedule {

    private double lastReservedAt;

    /** Returns the next free retry time at the given rate. */
    double nextSlotAt(double now, double ratePerS) {
        return ratePerS > 0
                ? Math.max(now, lastReservedAt) + 1 / ratePerS
                : Double.POSITIVE_INFINITY;
    }

    /** Reserves the next free retry time. */
    void reserveNextSlot(double now, double ratePerS) {
        if (ratePerS > 0) {
            lastReservedAt = nextSlotAt(now, ratePerS);
        }
    }
}
