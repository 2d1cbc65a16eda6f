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
 * Rents and releases instances on behalf of the leader. {@link InstanceRentals} tracks the rental
 * requests, {@link InstanceReleases} the pending releases. Valid for one leadership term; confined
 * to the owner thread.
 */
public final class InstanceLifecycle {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceLifecycle.class);

    private final Fleet fleet;
    private final InstanceRentals rentals;
    private final InstanceReleases releases;

    /**
     * Creates the lifecycle for one term, without any rentals; {@link #restore} adds the rentals of
     * previous leaders.
     *
     * @param retryS delay in seconds before a failed request is retried
     * @param noCapacityBackoffS seconds during which a zone that had no capacity for a pool is not
     *     tried again
     * @param leadershipConfirmed whether the store lease is certain not to have expired. A leader
     *     whose process was paused must not release instances that the next leader uses.
     */
    public InstanceLifecycle(
            Loop loop,
            CloudProvider cloud,
            FencedWriter writer,
            Fleet fleet,
            FencingToken fencingToken,
            double retryS,
            double noCapacityBackoffS,
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
                        noCapacityBackoffS,
                        leadershipConfirmed);
        this.releases =
                new InstanceReleases(
                        loop, cloud, retryS, leadershipConfirmed, this::handleReleaseConfirmed);
    }

    /** Stops sending requests; called when the leadership term ends. */
    public void stop() {
        rentals.stop();
        releases.stop();
    }

    /** Restores a previous leader's rental request from its durable record. */
    public void restore(String requestId, JsonNode data) {
        rentals.restore(requestId, data);
    }

    /** Whether the zone has not recently refused a rental of this pool for lack of capacity. */
    public boolean mayHaveCapacity(InstancePool pool, String zone) {
        return rentals.mayHaveCapacity(pool, zone);
    }

    /** Number of instances requested from a pool and neither granted nor refused yet. */
    public int requestedCount(InstancePool pool) {
        return rentals.requestedCount(pool);
    }

    /**
     * Number of instances requested from a pool in one zone and neither granted nor refused yet.
     */
    public int requestedCount(InstancePool pool, String zone) {
        return rentals.requestedCount(pool, zone);
    }

    /** Rents {@code count} instances. Each request is persisted before it is sent. */
    public void rent(InstancePool pool, String zone, int count) {
        rentals.rent(pool, zone, count);
    }

    /** Releases an instance; the request is retried until the provider confirms it. */
    public void release(Machine machine, String reason) {
        if (machine.releasing()) {
            return;
        }
        LOG.debug("queued instance for release: instance={} reason={}", machine.describe(), reason);
        fleet.markReleasing(machine);
        releases.add(machine.name, reason);
    }

    /** Number of instances whose release the provider has not confirmed yet. */
    public int pendingReleaseCount() {
        return releases.pendingCount();
    }

    private void handleReleaseConfirmed(String instanceName) {
        fleet.confirmReleased(instanceName);
        rentals.removeReleased(instanceName);
    }
}
