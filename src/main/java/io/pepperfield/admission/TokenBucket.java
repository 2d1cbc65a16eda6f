package io.pepperfield.admission;

/**
 * A token bucket that is refilled from the clock, without a timer. It starts empty, as a process
 * that restarts quickly no longer has the token counts of its predecessor.
 */
final class TokenBucket {

    private double ratePerS;
    private double capacity;
    private double tokens;
    private double filledAt;

    TokenBucket(double now) {
        filledAt = now;
    }

    /** Sets the refill rate and the capacity. */
    void setRate(double newRatePerS, double newCapacity, double now) {
        refill(now);
        ratePerS = newRatePerS;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Whether a token may be taken.
     *
     * @param debt number of tokens by which the bucket may be overdrawn; if negative, the number of
     *     tokens that must be left
     */
    boolean hasToken(double now, double debt) {
        refill(now);
        return tokens + debt >= 1;
    }

    /** Whether the bucket holds as many tokens as its capacity. */
    boolean isFull(double now) {
        refill(now);
        return tokens >= capacity && capacity >= 1;
    }

    /** Takes a token if {@link #hasToken} allows it; returns whether it did so. */
    boolean tryTake(double now, double debt) {
        if (!hasToken(now, debt)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Drops all tokens but keeps a debt. Tokens accumulated during an outage of the state service
     * would otherwise be spent at once when it ends.
     */
    void discardTokens(double now) {
        refill(now);
        tokens = Math.min(tokens, 0);
    }

    double ratePerS() {
        return ratePerS;
    }

    double capacity() {
        return capacity;
    }

    private void refill(double now) {
        tokens = Math.min(capacity, tokens + Math.max(0, now - filledAt) * ratePerS);
        filledAt = now;
    }
}
