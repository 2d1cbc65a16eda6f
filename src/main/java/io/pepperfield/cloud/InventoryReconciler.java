package io.pepperfield.cloud;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.loop.Loop;
import java.util.List;
import java.util.Optional;

/**
 * Compares the cloud's list of machines with the fleet from time to time: a machine that nobody
 * expects was rented by a request that had been given up, and one that failed is returned.
 */
public final class InventoryReconciler {

    private static final String STATUS_FAILED = "failed";

    private final Loop loop;
    private final CloudProvider cloud;
    private final Fleet fleet;
    private final InstanceLifecycle instanceLifecycle;
    private final double intervalS;

    private double requestedAt = Double.NEGATIVE_INFINITY;
    private boolean requestInFlight;
    private boolean stopped;

    /** Creates the reconciler of one term. */
    public InventoryReconciler(
            Loop loop,
            CloudProvider cloud,
            Settings.CloudLimits limits,
            Fleet fleet,
            InstanceLifecycle instanceLifecycle) {
        this.loop = loop;
        this.cloud = cloud;
        this.fleet = fleet;
        this.instanceLifecycle = instanceLifecycle;
        this.intervalS = Math.max(limits.listDelayS() / 2, 4 / limits.requestsPerS());
    }

    /** The leadership has ended: what is still answered changes nothing. */
    public void stop() {
        stopped = true;
    }

    /** Asks for the list when it is due and no request is under way. */
    public void tick(double now) {
        if (requestInFlight || now - requestedAt < intervalS) {
            return;
        }
        requestedAt = now;
        requestInFlight = true;
        cloud.listInstances(this::handleInventory);
    }

    private void handleInventory(Optional<List<CloudProvider.ListedInstance>> listed) {
        requestInFlight = false;
        if (!stopped) {
            listed.ifPresent(instances -> instances.forEach(this::reconcileInstance));
        }
    }

    private void reconcileInstance(CloudProvider.ListedInstance instance) {
        if (fleet.wasReleased(instance.name())) {
            return;
        }
        double now = loop.now();
        Machine machine =
                fleet.addExpectedMachine(
                        instance.name(),
                        instance.type(),
                        instance.zone(),
                        instance.spot(),
                        now - instance.ageS(),
                        now);
        if (instance.status().equals(STATUS_FAILED)) {
            instanceLifecycle.release(machine, "listed as failed");
        }
    }
}
