package io.pepperfield.cluster;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.Optional;

/**
 * Polls the cloud for the machine types. The leader polls at intervals, since prices move; the
 * other controllers only until they know the types. Used on the owner thread only.
 */
public final class MachineTypesPoller {

    /** Seconds between attempts until the cloud has answered for the first time. */
    private static final double RETRY_S = 2;

    private final CloudProvider cloud;
    private final MachineTypes types;
    private final double refreshS;
    private final Runnable onUpdate;

    private double requestedAt = Double.NEGATIVE_INFINITY;
    private boolean requestInFlight;
    private boolean everAnswered;

    /**
     * @param refreshS seconds between two requests of a leader
     * @param onUpdate run after each valid answer
     */
    public MachineTypesPoller(
            CloudProvider cloud, MachineTypes types, double refreshS, Runnable onUpdate) {
        this.cloud = cloud;
        this.types = types;
        this.refreshS = refreshS;
        this.onUpdate = onUpdate;
    }

    /** To be called often; asks the cloud when the types are due. */
    public void tick(double now, boolean leading) {
        if (requestInFlight || now - requestedAt < (everAnswered ? refreshS : RETRY_S)) {
            return;
        }
        if (!types.isLoaded() || leading) {
            requestInFlight = true;
            requestedAt = now;
            cloud.listMachineTypes(this::handleResponse);
        }
    }

    private void handleResponse(Optional<List<MachineType>> listed) {
        requestInFlight = false;
        if (listed.isPresent()) {
            types.update(listed.get());
            everAnswered = true;
            onUpdate.run();
        }
    }
}
