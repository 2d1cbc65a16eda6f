package io.pepperfield.controller;

import io.pepperfield.config.Settings;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.List;

/**
 * Runs the periodic tasks of a controller one after another in a fixed order. While the controller
 * cannot read all stored records, it steps down if it leads and skips the tasks.
 */
final class ControllerTicker {

    private final Loop loop;
    private final double intervalS;
    private final double leaseS;
    private final PauseDetector pauseDetector;
    private final ReplicaSynchronizer synchronizer;
    private final StoredStateCompatibility compatibility;
    private final Leadership leadership;
    private final List<Runnable> tasks;

    ControllerTicker(
            Loop loop,
            Settings settings,
            PauseDetector pauseDetector,
            ReplicaSynchronizer synchronizer,
            StoredStateCompatibility compatibility,
            Leadership leadership,
            List<Runnable> tasks) {
        this.loop = loop;
        this.intervalS = ControllerTimings.of(settings).tickS();
        this.leaseS = settings.deployment().workerTimings().leaseS();
        this.pauseDetector = pauseDetector;
        this.synchronizer = synchronizer;
        this.compatibility = compatibility;
        this.leadership = leadership;
        this.tasks = tasks;
    }

    /** Runs the tasks now, and again after each interval. */
    void tick() {
        loop.schedule(intervalS, this::tick);
        pauseDetector.updateAndCheckStale();
        if (synchronizer.isLoaded()) {
            compatibility.tick();
        }
        if (!compatibility.mayServe()) {
            leadership.stepDown(StoredStateCompatibility.NOT_SERVING, leaseS);
            return;
        }
        tasks.forEach(Runnable::run);
    }
}
