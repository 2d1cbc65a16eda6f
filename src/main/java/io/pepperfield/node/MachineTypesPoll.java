package io.pepperfield.node;

import io.pepperfield.cloud.Cloud;
import io.pepperfield.fleet.MachineType;
import java.util.List;

/**
 * Asks the cloud for the machine types. Prices move: the leader asks now and then; the others need
 * no more than to know the types once.
 */
final class MachineTypesPoll {

    /** Between attempts until the cloud has answered for the first time. */
    private static final double RETRY_S = 2;

    private final Cloud cloud;
    private final MachineTypes types;
    private final double refreshS;
    private final Runnable received;

    private double requestedAt = Double.NEGATIVE_INFINITY;
    private boolean requested;
    private boolean answered;

    /**
     * @param refreshS between two questions of a leader
     * @param received to be run after each answer
     */
    MachineTypesPoll(Cloud cloud, MachineTypes types, double refreshS, Runnable received) {
        this.cloud = cloud;
        this.types = types;
        this.refreshS = refreshS;
        this.received = received;
    }

    void tick(double now, boolean leading) {
        if (requested || now - requestedAt < (answered ? refreshS : RETRY_S)) {
            return;
        }
        if (!types.known() || leading) {
            requested = true;
            requestedAt = now;
            cloud.types(this::receive);
        }
    }

    private void receive(List<MachineType> heard) {
        requested = false;
        if (heard != null) {
            types.update(heard);
            answered = true;
            received.run();
        }
    }
}
