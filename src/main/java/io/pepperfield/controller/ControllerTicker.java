package io.pepperfield.controller;

import io.pepperfield.config.Settings;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.List;

/**
 * Runs the periodic duties of a controller, one after the other in a fixed order. While the
 * controller cannot read all that is stored it does nothing but give up the leadership.
 */
final class ControllerTicker {

    private final Loop loop;
    private final double intervalS;
    private final double leaseS;
    private final PauseDetector pauseDetector;
    private final ReplicaSynchronizer synchronizer;
    private final StoredStateCompatibility compatibility;
    private final Leadership leadership;
    private final List<Runnable> duties;

    ControllerTicker(
            Loop loop,
            Settings settings,
            PauseDetector pauseDetector,
            ReplicaSynchronizer synchronizer,
            StoredStateCompatibility compatibility,
            Leadership leadership,
            List<Runnable> duties) {
        this.loop = loop;
        this.intervalS = ControllerTimings.of(settings).tickS();
        this.leaseS = settings.deployment().workerTimings().leaseS();
        this.pauseDetector = pauseDetector;
        this.synchronizer = synchronizer;
        this.compatibility = compatibility;
        this.leadership = leadership;
        this.duties = duties;
    }

    /** Runs the duties now and at each interval from now on. */
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
        duties.forEach(Runnable::run);
    }
}
