package io.pepperfield.cluster;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.MachineType;
import java.util.List;

/**
 * Asks the cloud for the machine types. Prices move: the leader asks now and then; the others need
 * no more than to know the types once.
 */
public final class MachineTypesPoller {

    /** Between attempts until the cloud has answered for the first time. */
    private static final double RETRY_S = 2;

    private final CloudProvider cloud;
    private final MachineTypes types;
    private final double refreshS;
    private final Runnable onUpdate;

    private double requestedAt = Double.NEGATIVE_INFINITY;
    private boolean requestInFlight;
    private boolean everAnswered;

    /**
     * @param refreshS between two questions of a leader
     * @param received to be run after each answer
     */
    public MachineTypesPoller(
            CloudProvider cloud, MachineTypes types, double refreshS, Runnable received) {
        this.cloud = cloud;
        this.types = types;
        this.refreshS = refreshS;
        this.onUpdate = received;
    }

    /** To be called often; asks the cloud when the types are due. */
    public void tick(double now, boolean leading) {
        if (requestInFlight || now - requestedAt < (everAnswered ? refreshS : RETRY_S)) {
            return;
        }
        if (!types.known() || leading) {
            requestInFlight = true;
            requestedAt = now;
            cloud.listMachineTypes(this::handleResponse);
        }
    }

    private void handleResponse(List<MachineType> heard) {
        requestInFlight = false;
        if (heard != null) {
            types.update(heard);
            everAnswered = true;
            onUpdate.run();
        }
    }
}
