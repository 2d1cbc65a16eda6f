package io.pepperfield.controller;

import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;

/**
 * This controller's share of the store's rates by its role. The leader writes most. Submissions and
 * cancellations come to all controllers, but seldom to all at once: each may use a quarter of the
 * writes for them, a single one left twice as many, and where that is too much together, the
 * store's own refusal is the limit.
 */
public final class RoleRateLimits {

    /** Applies this controller's share of the store's rates. */
    public interface RateLimitSetter {
        /** Sets requests per second, and writes per second of the leader and for users. */
        void setRateLimits(double requestsPerS, double leaderWritesPerS, double userWritesPerS);
    }

    /** Part of the store's writes for what comes from users to one controller. */
    static final double USER_WRITE_SHARE = 0.25;

    private static final double LEADER_WRITE_SHARE = 0.75;
    private static final double LEADER_REQUEST_SHARE = 0.45;
    private static final double FOLLOWERS_REQUEST_SHARE = 0.5;
    private static final double SINGLE_CONTROLLER_REQUEST_SHARE = 0.95;

    /** With admission, a single controller may be allotted all that is for accepting jobs. */
    private final boolean admissionEnabled;

    private final RateLimitSetter setter;
    private final Settings.StoreLimits storeLimits;
    private final int clusterSize;

    /** Controllers that users may have come to, as far as this one knows. */
    private int liveControllers;

    RoleRateLimits(RateLimitSetter setter, Settings settings) {
        this.setter = setter;
        this.storeLimits = settings.deployment().storeLimits();
        this.admissionEnabled = settings.operators().isEnabled(Feature.ADMISSION);
        this.clusterSize = settings.deployment().controllerCount();
        this.liveControllers = clusterSize;
    }

    /** Applies a changed number of live controllers. */
    void setLiveControllers(int controllers, boolean leading) {
        if (controllers != liveControllers) {
            liveControllers = controllers;
            applyForRole(leading);
        }
    }

    /** Applies the rates of the leader, or of another controller. */
    void applyForRole(boolean leading) {
        double leaderWritesPerS = leading ? storeLimits.writesPerS() * LEADER_WRITE_SHARE : 0;
        setter.setRateLimits(
                storeLimits.requestsPerS() * requestShare(leading),
                leaderWritesPerS,
                storeLimits.writesPerS() * userWriteShare());
    }

    /**
     * Part of the store's writes for what comes from users to this controller; where admission
     * divides them between controllers, that and not this part is their limit.
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
