package io.pepperfield.node;

import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.Renting;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.loop.Loop;
import java.util.List;

/**
 * Compares the cloud's list of machines with the fleet from time to time: a machine that nobody
 * expects was rented by a request that had been given up, and one that failed is returned.
 */
final class CloudInventory {

    private static final String FAILED = "failed";

    private final Loop loop;
    private final Cloud cloud;
    private final Fleet fleet;
    private final Renting renting;
    private final double intervalS;

    private double requestedAt = Double.NEGATIVE_INFINITY;
    private boolean requested;
    private boolean stopped;

    CloudInventory(Loop loop, Cloud cloud, Settings.Cloud limits, Fleet fleet, Renting renting) {
        this.loop = loop;
        this.cloud = cloud;
        this.fleet = fleet;
        this.renting = renting;
        this.intervalS = Math.max(limits.listLagS() / 2, 4 / limits.rps());
    }

    /** The leadership has ended: what is still answered changes nothing. */
    void stop() {
        stopped = true;
    }

    /** Asks for the list when it is due and no request is under way. */
    void tick(double now) {
        if (requested || now - requestedAt < intervalS) {
            return;
        }
        requestedAt = now;
        requested = true;
        cloud.list(this::received);
    }

    private void received(List<Cloud.Listed> listed) {
        requested = false;
        if (!stopped && listed != null) {
            listed.forEach(this::reconcile);
        }
    }

    private void reconcile(Cloud.Listed item) {
        if (fleet.wasReleased(item.name())) {
            return;
        }
        double now = loop.now();
        Machine machine =
                fleet.expect(
                        item.name(), item.type(), item.zone(), item.spot(), now - item.ageS(), now);
        if (item.status().equals(FAILED)) {
            renting.release(machine, "listed as failed");
        }
    }
}
