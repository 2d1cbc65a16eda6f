package io.pepperfield.controller;

import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;

/**
 * This node's part of the state service's rates. The leader writes most. Submissions and
 * cancellations come to all nodes, but seldom to all at once: each may use a quarter of the changes
 * for them, a single one left twice as many, and where that is too much together, the service's own
 * refusal is the limit.
 */
public final class RoleRateLimits {

    /** Sets this node's part of the state service's rates. */
    public interface RateLimitSetter {
        /**
         * Sets requests per second, and changes per second for the leader's and for users' writes.
         */
        void setRateLimits(double requests, double leadersWrites, double usersWrites);
    }

    /** Of the state service's changes, for what comes from users to one node. */
    static final double USER_WRITE_SHARE = 0.25;

    private static final double LEADER_WRITE_SHARE = 0.75;
    private static final double LEADER_REQUEST_SHARE = 0.45;
    private static final double FOLLOWERS_REQUEST_SHARE = 0.5;
    private static final double SINGLE_CONTROLLER_REQUEST_SHARE = 0.95;

    /** A single controller may be allotted all that is for accepting jobs. */
    private final boolean admissionEnabled;

    private final RateLimitSetter setter;
    private final Settings.StoreLimits serviceLimits;
    private final int clusterSize;

    /** Controllers that users may have come to, as far as this one knows. */
    private int liveControllers;

    RoleRateLimits(RateLimitSetter rates, Settings settings) {
        this.setter = rates;
        this.serviceLimits = settings.deployment().storeLimits();
        this.admissionEnabled = settings.operators().isEnabled(Feature.ADMISSION);
        this.clusterSize = settings.deployment().controllerCount();
        this.liveControllers = clusterSize;
    }

    /** So many controllers are known to be live. */
    void setLiveControllers(int controllers, boolean leading) {
        if (controllers != liveControllers) {
            liveControllers = controllers;
            applyForRole(leading);
        }
    }

    /** Sets the rates for a node that leads, or does not. */
    void applyForRole(boolean leading) {
        double leadersWrites = leading ? serviceLimits.writesPerS() * LEADER_WRITE_SHARE : 0;
        setter.setRateLimits(
                serviceLimits.requestsPerS() * requestShare(leading),
                leadersWrites,
                serviceLimits.writesPerS() * userWriteShare());
    }

    /**
     * Of the state service's changes, for what comes from users to this node; where admission is
     * divided between controllers, that and not this part is their limit.
     */
    private double userWriteShare() {
        if (admissionEnabled) {
            return 2 * USER_WRITE_SHARE;
        }
        return Math.min(
                2 * USER_WRITE_SHARE,
                Math.max(USER_WRITE_SHARE, 3 * USER_WRITE_SHARE / liveControllers));
    }

    private double requestShare(boolean leading) {
        int others = clusterSize - 1;
        if (others == 0) {
            return SINGLE_CONTROLLER_REQUEST_SHARE;
        }
        return leading ? LEADER_REQUEST_SHARE : FOLLOWERS_REQUEST_SHARE / others;
    }
}
