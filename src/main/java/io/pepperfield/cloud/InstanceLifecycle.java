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
        for (int left = count; left > 0; left -= MAX_INSTANCES_PER_RENTAL) {
            RentalRequest hire =
                    new RentalRequest(
                            "p" + fencingToken.value() + "-" + ++sequence,
                            pool,
                            zone,
                            Math.min(left, MAX_INSTANCES_PER_RENTAL),
                            loop.wallMs());
            rentalRequests.put(hire.requestId, hire);
            writer.enqueue(
                    Keys.RENTAL_PREFIX + hire.requestId,
                    FencedWriter.Priority.INTENT,
                    hire::encode,
                    () -> sendRentalRequest(hire));
        }
    }

    /** Releases an instance; the request is repeated until the cloud confirms it. */
    public void release(Machine machine, String reason) {
        if (machine.releasing()) {
            return;
        }
        if (!leadershipConfirmed.getAsBoolean()) {
            loop.after(retryS, () -> sendRentalRequest(hire));
            return;
        }
        cloud.rentInstances(
                hire.requestId,
                hire.pool.type(),
                hire.zone,
                hire.pool.spot(),
                hire.count,
                result -> {
                    if (stopped) {
                        return;
                    }
                    if (result instanceof CloudProvider.RentalOutcome.Failed failed) {
                        LOG.debug("{} is asked for again: {}", hire.requestId, failed.reason());
                        loop.after(retryS, () -> sendRentalRequest(hire));
                        return;
                    }
                    hire.answered = true;
                    int got = 0;
                    if (result instanceof CloudProvider.RentalOutcome.Granted machines) {
                        got = machines.instanceNames().size();
                        hire.instanceNames.addAll(machines.instanceNames());
                        // From now on, as it may have waited for its turn at the cloud: it has not
                        // booted for longer.
                        machines.instanceNames()
                                .forEach(
                                        host ->
                                                fleet.expectMachine(
                                                        host,
                                                        hire.pool.type(),
                                                        hire.zone,
                                                        hire.pool.spot(),
                                                        loop.now(),
                                                        loop.now()));
                    }
                    if (got < hire.count) {
                        noCapacityUntil.put(
                                hire.pool + "@" + hire.zone, loop.now() + noCapacityValidityS);
                    }
                    LOG.info("rented {} of {} {} in {}", got, hire.count, hire.pool, hire.zone);
                    writer.enqueue(
                            Keys.RENTAL_PREFIX + hire.requestId,
                            FencedWriter.Priority.BACKGROUND,
                            hire::encode);
                    if (hire.instanceNames.isEmpty()) {
                        rentalRequests.remove(hire.requestId);
                    }
                });
    }

    /** The number of instances whose release the cloud has not confirmed. */
    public int releasing() {
        return releases.pendingCount();
    }

    private void sendReleases() {
        if (releasing || stopped || pendingReleases.isEmpty()) {
            return;
        }
        releasing = true;
        // Those that are asked for in the same batch of commands go in one request.
        loop.post(
                () -> {
                    if (!leadershipConfirmed.getAsBoolean()) {
                        releasing = false;
                        loop.after(retryS, this::sendReleases);
                        return;
                    }
                    List<String> names =
                            pendingReleases.keySet().stream()
                                    .limit(MAX_INSTANCES_PER_RELEASE)
                                    .toList();
                    // One line for a batch: machines are lost and returned by the hundred.
                    Map<String, Integer> reasons = new TreeMap<>();
                    names.forEach(
                            name -> reasons.merge(pendingReleases.get(name), 1, Integer::sum));
                    LOG.info(
                            "returning {} machines {}{}",
                            names.size(),
                            reasons,
                            names.size() <= MAX_NAMES_LOGGED ? " " + names : "");
                    cloud.releaseInstances(
                            names,
                            done -> {
                                releasing = false;
                                if (stopped) {
                                    return;
                                }
                                if (!done) {
                                    loop.after(retryS, this::sendReleases);
                                    return;
                                }
                                names.forEach(pendingReleases::remove);
                                names.forEach(this::releaseConfirmed);
                                sendReleases();
                            });
                });
    }

    private void releaseConfirmed(String name) {
        fleet.confirmReleased(name);
        for (RentalRequest hire : new ArrayList<>(rentalRequests.values())) {
            if (hire.instanceNames.remove(name)) {
                writer.enqueue(
                        Keys.RENTAL_PREFIX + hire.requestId,
                        FencedWriter.Priority.BACKGROUND,
                        hire::encode);
                if (hire.instanceNames.isEmpty() && hire.answered) {
                    rentalRequests.remove(hire.requestId);
                }
            }
        }
    }
}
