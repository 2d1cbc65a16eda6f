package io.pepperfield.controller;

import io.pepperfield.loop.Loop;
import java.util.function.DoubleSupplier;

/**
 * Checks whether the replica is recent enough for attempts to be started. With an older replica,
 * another controller may have cancelled the job without this controller having seen it.
 */
final class StoreFreshness {

    /**
     * Maximum age of the replica in heartbeat intervals. The store answers a watch without changes
     * after half an interval; the remainder covers usual delays.
     */
    private static final double MAX_AGE_INTERVALS = 0.8;

    private final Loop loop;
    private final DoubleSupplier lastConfirmedAt;
    private final double maxAgeS;

    /**
     * @param lastConfirmedAt loop time up to which the replica is known to contain all changes
     */
    StoreFreshness(Loop loop, DoubleSupplier lastConfirmedAt, double heartbeatIntervalS) {
        this.loop = loop;
        this.lastConfirmedAt = lastConfirmedAt;
        this.maxAgeS = MAX_AGE_INTERVALS * heartbeatIntervalS;
    }

    boolean isFresh() {
        return loop.now() - lastConfirmedAt.getAsDouble() < maxAgeS;
    }
}
