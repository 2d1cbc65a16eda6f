package io.pepperfield.cloud;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.loop.Loop;
import java.util.List;
import java.util.Optional;

/**
 * Periodically compares the provider's list of instances with the fleet. An instance missing from
 * the fleet was rented by an abandoned request and is added; a failed instance is released.
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

    /** Creates the reconciler for one leadership term. */
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

    /** Stops the reconciler when the term ends; a reply that arrives later is ignored. */
    public void stop() {
        stopped = true;
    }

    /** Requests the list if the interval has passed and no request is in flight. */
    public void tick(double now) {
        if (requestInFlight || now - requestedAt < intervalS) {
            return;
        }
        requestedAt = now;
        requestInFlight = true;
        cloud.listInstances(this::handleInstanceList);
    }

    private void handleInstanceList(Optional<List<CloudProvider.ListedInstance>> listed) {
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
