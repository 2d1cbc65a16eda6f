package io.pepperfield.controller;

import io.pepperfield.config.Settings;

/**
 * The intervals of one controller in seconds, derived from the settings.
 *
 * @param heartbeatIntervalS time between two heartbeats of a worker
 * @param grantTtlS time to live of the leader's grant in the store
 * @param tickS time between two ticks of the controller
 * @param readIntervalS least time between two linearizable reads of the store
 * @param livenessTimeoutS time after its last message for which a controller counts as live
 */
record ControllerTimings(
        double heartbeatIntervalS,
        double grantTtlS,
        double tickS,
        double readIntervalS,
        double livenessTimeoutS) {

    /**
     * Liveness timeout in heartbeat intervals. It spans three messages between controllers, so that
     * a partition changes its owner only after three were missed.
     */
    private static final double LIVENESS_INTERVALS = 0.75;

    private static final double TICKS_PER_GRANT = 20;

    static ControllerTimings of(Settings settings) {
        Settings.WorkerTimings workers = settings.deployment().workerTimings();
        double heartbeatIntervalS = workers.heartbeatIntervalS();
        // Much shorter than a worker's lease, so that a failover interrupts no task, but longer
        // than usual pauses of this process, so that these do not cause a failover.
        double grantTtlS = Math.min(workers.leaseS() / 8, heartbeatIntervalS);
        return new ControllerTimings(
                heartbeatIntervalS,
                grantTtlS,
                grantTtlS / TICKS_PER_GRANT,
                readIntervalS(settings),
                LIVENESS_INTERVALS * heartbeatIntervalS);
    }

    /**
     * Returns the least time between two reads of one kind. It is short because users wait for
     * confirmations and workers for new jobs. All controllers together use at most two fifths of
     * the store's request rate for reads of one kind.
     */
    private static double readIntervalS(Settings settings) {
        int controllers = settings.deployment().controllerCount();
        return 10.0 * controllers / settings.deployment().storeLimits().requestsPerS() / 4;
    }
}
