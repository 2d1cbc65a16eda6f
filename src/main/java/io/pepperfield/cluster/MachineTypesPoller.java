package io.pepperfield.cluster;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.Optional;

/**
 * Polls the cloud provider for the machine types. The leader polls at regular intervals, since
 * prices change; the other controllers poll only until the types are loaded. Used on the owner
 * thread only.
 */
public final class MachineTypesPoller {

    /** Retry interval in seconds until the cloud provider has answered for the first time. */
    private static final double RETRY_S = 2;

    private final CloudProvider cloud;
    private final MachineTypes types;
    private final double refreshS;
    private final Runnable onUpdate;

    private double lastRequestAt = Double.NEGATIVE_INFINITY;
    private boolean requestInFlight;
    private boolean everLoaded;

    /**
     * @param refreshS poll interval of the leader in seconds
     * @param onUpdate called after each valid response
     */
    public MachineTypesPoller(
            CloudProvider cloud, MachineTypes types, double refreshS, Runnable onUpdate) {
        this.cloud = cloud;
        this.types = types;
        this.refreshS = refreshS;
        this.onUpdate = onUpdate;
    }

    /** Polls the cloud provider if a request is due. Must be called frequently. */
    public void tick(double now, boolean leading) {
        if (requestInFlight || now - lastRequestAt < (everLoaded ? refreshS : RETRY_S)) {
            return;
        }
        if (!types.isLoaded() || leading) {
            requestInFlight = true;
            lastRequestAt = now;
            cloud.listMachineTypes(this::handleResponse);
        }
    }

    private void handleResponse(Optional<List<MachineType>> response) {
        requestInFlight = false;
        if (response.isPresent()) {
            types.update(response.get());
            everLoaded = true;
            onUpdate.run();
        }
    }
}
