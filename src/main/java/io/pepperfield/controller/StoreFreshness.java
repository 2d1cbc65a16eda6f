package io.pepperfield.controller;

import io.pepperfield.loop.Loop;
import java.util.function.DoubleSupplier;

/**
 * Whether the store has answered recently enough for starts to be ordered: otherwise others may
 * have cancelled the job meanwhile.
 */
final class StoreFreshness {

    /**
     * In heartbeat intervals. A watch of the store is held for half an interval, and as much again
     * is not the ordinary case.
     */
    private static final double FRESH_INTERVALS = 0.8;

    private final Loop loop;
    private final DoubleSupplier lastConfirmedAt;
    private final double freshS;

    /**
     * @param lastConfirmedAt loop time up to which the replica is known to hold all changes
     */
    StoreFreshness(Loop loop, DoubleSupplier lastConfirmedAt, double heartbeatIntervalS) {
        this.loop = loop;
        this.lastConfirmedAt = lastConfirmedAt;
        this.freshS = FRESH_INTERVALS * heartbeatIntervalS;
    }

    boolean isFresh() {
        return loop.now() - lastConfirmedAt.getAsDouble() < freshS;
    }
}
