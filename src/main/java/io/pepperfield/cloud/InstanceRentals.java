package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rental requests of the leader. The idempotency key of a request is persisted before the request
 * is sent and contains the leader's fencing token, so that every key is unique. A request whose
 * outcome is unknown is retried with the same key, also by a later leader. Confined to the owner
 * thread.
 */
final class InstanceRentals {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceRentals.class);
    private static final int MAX_INSTANCES_PER_REQUEST = 50;

    /** A pool in one zone, from which instances are rented. */
    private record ZonePool(InstancePool pool, String zone) {}

    private final Loop loop;
    private final CloudProvider cloud;
    private final FencedWriter writer;
    private final Fleet fleet;
    private final FencingToken fencingToken;
    private final double retryS;
    private final double noCapacityBackoffS;
    private final BooleanSupplier leadershipConfirmed;
    private final Map<String, RentalRequest> requests = new LinkedHashMap<>();
    private final Map<ZonePool, Double> noCapacityUntil = new HashMap<>();

    private int lastRequestNumber;
    private boolean stopped;

    InstanceRentals(
            Loop loop,
            CloudProvider cloud,
            FencedWriter writer,
            Fleet fleet,
            FencingToken fencingToken,
            double retryS,
            double noCapacityBackoffS,
            BooleanSupplier leadershipConfirmed) {
        this.loop = loop;
        this.cloud = cloud;
        this.writer = writer;
        this.fleet = fleet;
        this.fencingToken = fencingToken;
        this.retryS = retryS;
        this.noCapacityBackoffS = noCapacityBackoffS;
        this.leadershipConfirmed = leadershipConfirmed;
    }

    void stop() {
        stopped = true;
    }

    void restore(String requestId, JsonNode data) {
        RentalRequest request = RentalRequest.decode(requestId, data);
        if (request.isFinished()) {
            return;
        }
        requests.put(requestId, request);
        if (!request.answered) {
            send(request);
            return;
        }
        double now = loop.now();
        double ageS = Math.max(0, (loop.wallClockMs() - request.requestedAtMs) / 1000.0);
        request.instanceNames.forEach(name -> addToFleet(request, name, now - ageS));
    }

    private void addToFleet(RentalRequest request, String name, double rentedAt) {
        fleet.addExpectedMachine(
                name, request.pool.type(), request.zone, request.pool.spot(), rentedAt, loop.now());
    }

    boolean mayHaveCapacity(InstancePool pool, String zone) {
        return noCapacityUntil.getOrDefault(new ZonePool(pool, zone), Double.NEGATIVE_INFINITY)
                <= loop.now();
    }

    int requestedCount(InstancePool pool) {
        return countUnanswered(request -> request.pool.equals(pool));
    }

    int requestedCount(InstancePool pool, String zone) {
        return countUnanswered(request -> request.pool.equals(pool) && request.zone.equals(zone));
    }

    private int countUnanswered(Predicate<RentalRequest> counted) {
        return requests.values().stream()
                .filter(request -> !request.answered && counted.test(request))
                .mapToInt(request -> request.count)
                .sum();
    }

    void rent(InstancePool pool, String zone, int count) {
        for (int remaining = count; remaining > 0; remaining -= MAX_INSTANCES_PER_REQUEST) {
            lastRequestNumber++;
            RentalRequest request =
                    new RentalRequest(
                            "p" + fencingToken.value() + "-" + lastRequestNumber,
                            pool,
                            zone,
                            Math.min(remaining, MAX_INSTANCES_PER_REQUEST),
                            loop.wallClockMs());
            requests.put(request.requestId, request);
            writer.enqueue(
                    request.key(),
                    FencedWriter.Priority.INTENT,
                    request::encode,
                    () -> send(request));
        }
    }

    private void send(RentalRequest request) {
        if (stopped) {
            return;
        }
        if (!leadershipConfirmed.getAsBoolean()) {
            loop.schedule(retryS, () -> send(request));
            return;
        }
        cloud.rentInstances(
                request.requestId,
                request.pool.type(),
                request.zone,
                request.pool.spot(),
                request.count,
                outcome -> handleOutcome(request, outcome));
    }

    private void handleOutcome(RentalRequest request, CloudProvider.RentalOutcome outcome) {
        if (stopped) {
            return;
        }
        if (outcome instanceof CloudProvider.RentalOutcome.Failed failed) {
            LOG.debug(
                    "rental request failed, retrying: rental={} reason={}",
                    request.requestId,
                    failed.reason());
            loop.schedule(retryS, () -> send(request));
            return;
        }
        request.answered = true;
        int granted = 0;
        if (outcome instanceof CloudProvider.RentalOutcome.Granted instances) {
            granted = instances.instanceNames().size();
            request.instanceNames.addAll(instances.instanceNames());
            // The rental time is now, not the time of the request: the request may have been
            // queued, and the instances began to boot only when it was granted.
            instances.instanceNames().forEach(name -> addToFleet(request, name, loop.now()));
        }
        if (granted < request.count) {
            noCapacityUntil.put(
                    new ZonePool(request.pool, request.zone), loop.now() + noCapacityBackoffS);
        }
        LOG.info(
                "instances rented: rental={} granted={} requested={} pool={} zone={}",
                request.requestId,
                granted,
                request.count,
                request.pool,
                request.zone);
        writeInBackground(request);
        if (request.instanceNames.isEmpty()) {
            requests.remove(request.requestId);
        }
    }

    private void writeInBackground(RentalRequest request) {
        writer.enqueue(request.key(), FencedWriter.Priority.BACKGROUND, request::encode);
    }

    /** Removes an instance whose release the provider has confirmed from its rental request. */
    void removeReleased(String instanceName) {
        for (RentalRequest request : new ArrayList<>(requests.values())) {
            if (request.instanceNames.remove(instanceName)) {
                writeInBackground(request);
                if (request.isFinished()) {
                    requests.remove(request.requestId);
                }
            }
        }
    }
}
