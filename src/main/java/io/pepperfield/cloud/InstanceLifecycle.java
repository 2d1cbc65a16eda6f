package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and releases the leader's instances. {@link InstanceRentals} keeps the rental requests,
 * {@link InstanceReleases} what is to be released. Belongs to one term; used on the owner thread
 * only.
 */
public final class InstanceLifecycle {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceLifecycle.class);

    private final Fleet fleet;
    private final InstanceRentals rentals;
    private final InstanceReleases releases;

    /**
     * Creates the lifecycle of one term without rentals; {@link #restore} adds those of earlier
     * leaders.
     *
     * @param retryS seconds after which a request without an answer is repeated
     * @param noCapacityValidityS seconds for which a refusal for lack of capacity is believed
     * @param leadershipConfirmed whether the store lease cannot have expired: a leader whose
     *     process was paused must not release instances that the next leader uses
     */
    public InstanceLifecycle(
            Loop loop,
            CloudProvider cloud,
            FencedWriter writer,
            Fleet fleet,
            FencingToken fencingToken,
            double retryS,
            double noCapacityValidityS,
            BooleanSupplier leadershipConfirmed) {
        this.fleet = fleet;
        this.rentals =
                new InstanceRentals(
                        loop,
                        cloud,
                        writer,
                        fleet,
                        fencingToken,
                        retryS,
                        noCapacityValidityS,
                        leadershipConfirmed);
        this.releases =
                new InstanceReleases(
                        loop, cloud, retryS, leadershipConfirmed, this::releaseConfirmed);
    }

    /** The leadership has ended: nothing is sent from here any more. */
    public void stop() {
        rentals.stop();
        releases.stop();
    }

    /** Takes over an earlier leader's rental request from its durable record. */
    public void restore(String requestId, JsonNode data) {
        rentals.restore(requestId, data);
    }

    /** Whether no recent refusal for lack of capacity speaks against renting there. */
    public boolean mayHaveCapacity(InstancePool pool, String zone) {
        return rentals.mayHaveCapacity(pool, zone);
    }

    /** The number of instances requested and not yet granted or refused. */
    public int requestedCount(InstancePool pool) {
        return rentals.requestedCount(pool);
    }

    /** The same in one zone. */
    public int requestedCount(InstancePool pool, String zone) {
        return rentals.requestedCount(pool, zone);
    }

    /** Rents that many instances; each request becomes durable before it is sent. */
    public void rent(InstancePool pool, String zone, int count) {
        rentals.rent(pool, zone, count);
    }

    /** Releases an instance; the request is repeated until the cloud confirms it. */
    public void release(Machine machine, String reason) {
        if (machine.releasing()) {
            return;
        }
        LOG.debug("instance to be released: instance={} reason={}", machine.describe(), reason);
        fleet.markReleasing(machine);
        releases.add(machine.name, reason);
    }

    /** The number of instances whose release the cloud has not confirmed. */
    public int pendingReleaseCount() {
        return releases.pendingCount();
    }

    private void releaseConfirmed(String instanceName) {
        fleet.confirmReleased(instanceName);
        rentals.removeReleased(instanceName);
    }
}
