package io.pepperfield.admission;

/**
 * Times at which refused jobs may come back: one after the other, at the rate at which they can be
 * admitted, so that they neither crowd at one moment nor leave the rate unused.
 */
final class RetrySchedule {

    private double lastReservedAt;

    /** The next free time, at that rate. */
    double nextSlotAt(double now, double ratePerS) {
        return ratePerS > 0
                ? Math.max(now, lastReservedAt) + 1 / ratePerS
                : Double.POSITIVE_INFINITY;
    }

    /** The next free time is taken. */
    void reserveNextSlot(double now, double ratePerS) {
        if (ratePerS > 0) {
            lastReservedAt = nextSlotAt(now, ratePerS);
        }
    }
}
