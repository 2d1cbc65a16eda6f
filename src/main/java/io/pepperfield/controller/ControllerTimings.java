package io.pepperfield.controller;

import io.pepperfield.config.Settings;

/**
 * The intervals of one controller in seconds, as they follow from the settings.
 *
 * @param heartbeatIntervalS between two heartbeats of a worker
 * @param grantS the time to live of the leader's grant
 * @param tickS between two ticks of the controller
 * @param readIntervalS between two linearizable reads of the store
 * @param livenessS how long after its last message a controller counts as live
 */
record ControllerTimings(
        double heartbeatIntervalS,
        double grantTtlS,
        double tickS,
        double readIntervalS,
        double livenessTimeoutS) {

    /** In heartbeat intervals: three messages are missed before a partition changes its owner. */
    private static final double LIVENESS_INTERVALS = 0.75;

    private static final double TICKS_PER_GRANT = 20;

    static ControllerTimings of(Settings settings) {
        Settings.WorkerTimings workers = settings.deployment().workerTimings();
        double heartbeatIntervalS = workers.heartbeatIntervalS();
        // Far below a worker's lease, so that a failover costs no task; above an ordinary pause of
        // this process.
        double grantS = Math.min(workers.leaseS() / 8, heartbeatIntervalS);
        return new ControllerTimings(
                heartbeatIntervalS,
                grantS,
                grantS / TICKS_PER_GRANT,
                readIntervalS(settings),
                LIVENESS_INTERVALS * heartbeatIntervalS);
    }

    /**
     * A user waits for a confirmation and a worker for a new job: a twentieth of the request rate
     * for each kind of read.
     */
    private static double readIntervalS(Settings settings) {
        int controllers = settings.deployment().controllerCount();
        return 10.0 * controllers / settings.deployment().storeLimits().requestsPerS() / 4;
    }
}
