package io.pepperfield.admission;

/**
 * A token bucket that begins empty and fills by the clock, without a timer: a process that is back
 * within a moment has forgotten what it spent before.
 */
final class TokenBucket {

    private double ratePerS;
    private double capacity;
    private double tokens;
    private double filledAt;

    TokenBucket(double now) {
        filledAt = now;
    }

    /** Sets the rate from now on, and how many tokens may be saved up. */
    void setRate(double newRatePerS, double maxTokens, double now) {
        refill(now);
        ratePerS = newRatePerS;
        capacity = maxTokens;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Whether a token is there; with {@code debt} so many may be taken before they are, and with a
     * negative one so many are left.
     */
    boolean hasToken(double now, double debt) {
        refill(now);
        return tokens + debt >= 1;
    }

    /** Whether no more can be saved up. */
    boolean isFull(double now) {
        refill(now);
        return tokens >= capacity && capacity >= 1;
    }

    /** Takes a token where {@link #hasToken} says that there is one. */
    boolean tryTake(double now, double debt) {
        if (!hasToken(now, debt)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Tokens saved up for a state service that was out would be spent all at once. */
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
