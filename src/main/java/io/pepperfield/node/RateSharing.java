package io.pepperfield.node;

import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;

/**
 * This node's part of the state service's rates. The leader writes most. Submissions and
 * cancellations come to all nodes, but seldom to all at once: each may use a quarter of the changes
 * for them, a single one left twice as many, and where that is too much together, the service's own
 * refusal is the limit.
 */
public final class RateSharing {

    /** Sets this node's part of the state service's rates. */
    public interface RateLimitSetter {
        /**
         * Sets requests per second, and changes per second for the leader's and for users' writes.
         */
        void setRateLimits(double requests, double leadersWrites, double usersWrites);
    }

    /** Of the state service's changes, for what comes from users to one node. */
    static final double USERS_PART = 0.25;

    private static final double LEADERS_WRITES = 0.75;
    private static final double LEADERS_REQUESTS = 0.45;
    private static final double OTHERS_REQUESTS = 0.5;
    private static final double REQUESTS_ALONE = 0.95;

    /** A single controller may be allotted all that is for accepting jobs. */
    private final boolean divided;

    private final RateLimitSetter rates;
    private final Settings.State limits;
    private final int size;

    /** Controllers that users may have come to, as far as this one knows. */
    private int live;

    RateSharing(RateLimitSetter rates, Settings settings) {
        this.rates = rates;
        this.limits = settings.deployment().state();
        this.divided = settings.operators().enabled(Feature.ADMISSION);
        this.size = settings.deployment().size();
        this.live = size;
    }

    /** So many controllers are known to be live. */
    void live(int controllers, boolean leading) {
        if (controllers != live) {
            live = controllers;
            share(leading);
        }
    }

    /** Sets the rates for a node that leads, or does not. */
    void share(boolean leading) {
        double leadersWrites = leading ? limits.writeRps() * LEADERS_WRITES : 0;
        rates.setRateLimits(
                limits.rps() * requestsPart(leading),
                leadersWrites,
                limits.writeRps() * usersPart());
    }

    /**
     * Of the state service's changes, for what comes from users to this node; where admission is
     * divided between controllers, that and not this part is their limit.
     */
    private double usersPart() {
        if (divided) {
            return 2 * USERS_PART;
        }
        return Math.min(2 * USERS_PART, Math.max(USERS_PART, 3 * USERS_PART / live));
    }

    private double requestsPart(boolean leading) {
        int others = size - 1;
        if (others == 0) {
            return REQUESTS_ALONE;
        }
        return leading ? LEADERS_REQUESTS : OTHERS_REQUESTS / others;
    }
}
