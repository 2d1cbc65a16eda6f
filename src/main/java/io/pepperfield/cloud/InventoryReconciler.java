package io.pepperfield.cloud;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.loop.Loop;
import java.util.List;

/**
 * Compares the cloud's list of machines with the fleet from time to time: a machine that nobody
 * expects was rented by a request that had been given up, and one that failed is returned.
 */
public final class InventoryReconciler {

    private static final String STATUS_FAILED = "failed";

    private final Loop loop;
    private final CloudProvider cloud;
    private final Fleet fleet;
    private final InstanceLifecycle renting;
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
            InstanceLifecycle renting) {
        this.loop = loop;
        this.cloud = cloud;
        this.fleet = fleet;
        this.renting = renting;
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

    private void handleInventory(List<CloudProvider.ListedInstance> listed) {
        requestInFlight = false;
        if (!stopped && listed != null) {
            listed.forEach(this::reconcileInstance);
        }
    }

    private void reconcileInstance(CloudProvider.ListedInstance item) {
        if (fleet.wasReleased(item.name())) {
            return;
        }
        double now = loop.now();
        Machine machine =
                fleet.expectMachine(
                        item.name(), item.type(), item.zone(), item.spot(), now - item.ageS(), now);
        if (item.status().equals(STATUS_FAILED)) {
            renting.release(machine, "listed as failed");
        }
    }
}
