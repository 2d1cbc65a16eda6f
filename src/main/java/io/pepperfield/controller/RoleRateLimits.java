package io.pepperfield.controller;

import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;

/**
 * Sets this controller's share of the store's request and write rates according to its role. The
 * leader writes most. Submissions and cancellations arrive at all controllers, but rarely at all of
 * them at once, so each controller may use a quarter of the write rate for them, and the last live
 * controller half of it. If the controllers together exceed the store's rate, the store rejects the
 * excess.
 */
public final class RoleRateLimits {

    /** Applies the rate limits to this controller's requests to the store. */
    public interface RateLimitSetter {
        /**
         * Sets the limits.
         *
         * @param requestsPerS limit for all requests
         * @param leaderWritesPerS limit for the leader's writes
         * @param userWritesPerS limit for writes that users' requests cause
         */
        void setRateLimits(double requestsPerS, double leaderWritesPerS, double userWritesPerS);
    }

    /** Fraction of the store's write rate that one controller may use for users' requests. */
    static final double USER_WRITE_SHARE = 0.25;

    private static final double LEADER_WRITE_SHARE = 0.75;
    private static final double LEADER_REQUEST_SHARE = 0.45;
    private static final double FOLLOWERS_REQUEST_SHARE = 0.5;
    private static final double SINGLE_CONTROLLER_REQUEST_SHARE = 0.95;

    /**
     * With admission, the whole share for accepting jobs may be allotted to a single controller.
     */
    private final boolean admissionEnabled;

    private final RateLimitSetter setter;
    private final Settings.StoreLimits storeLimits;
    private final int clusterSize;

    /** Number of controllers that currently receive users' requests, as last estimated. */
    private int liveControllers;

    RoleRateLimits(RateLimitSetter setter, Settings settings) {
        this.setter = setter;
        this.storeLimits = settings.deployment().storeLimits();
        this.admissionEnabled = settings.operators().isEnabled(Feature.ADMISSION);
        this.clusterSize = settings.deployment().controllerCount();
        this.liveControllers = clusterSize;
    }

    /** Reapplies the limits if the number of live controllers has changed. */
    void setLiveControllers(int controllers, boolean leading) {
        if (controllers != liveControllers) {
            liveControllers = controllers;
            applyForRole(leading);
        }
    }

    /** Applies the limits of the leader or of a follower. */
    void applyForRole(boolean leading) {
        double leaderWritesPerS = leading ? storeLimits.writesPerS() * LEADER_WRITE_SHARE : 0;
        setter.setRateLimits(
                storeLimits.requestsPerS() * requestShare(leading),
                leaderWritesPerS,
                storeLimits.writesPerS() * userWriteShare());
    }

    /**
     * Returns the fraction of the store's write rate that this controller may use for users'
     * requests. If admission is enabled, the effective limit is the share that admission allots to
     * each controller, and this fraction is only an upper bound.
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
        int followers = clusterSize - 1;
        if (followers == 0) {
            return SINGLE_CONTROLLER_REQUEST_SHARE;
        }
        return leading ? LEADER_REQUEST_SHARE : FOLLOWERS_REQUEST_SHARE / followers;
    }
}
