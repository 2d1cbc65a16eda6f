package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's rentals and releases. A rental's name is durable before the request leaves and holds
 * the leader's token, so that no two requests ever share one; a request without an answer is
 * repeated by its name, by a later leader too.
 */
public final class InstanceLifecycle {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceLifecycle.class);
    private static final int MAX_INSTANCES_PER_RENTAL = 50;
    private static final int MAX_INSTANCES_PER_RELEASE = 100;

    /** Batches up to this size are logged by name. */
    private static final int MAX_NAMES_LOGGED = 3;

    /**
     * One rental request: its idempotency key, what it asks for, and the machines it has brought.
     */
    private static final class RentalRequest {
        final String requestId;
        final InstancePool pool;
        final String zone;
        final int count;
        final long requestedAtMs;
        final Set<String> instanceNames = new LinkedHashSet<>();

        /** Answered or given up: the record says which machines it brought. */
        boolean answered;

        RentalRequest(String name, InstancePool pool, String zone, int count, long atMs) {
            this.requestId = name;
            this.pool = pool;
            this.zone = zone;
            this.count = count;
            this.requestedAtMs = atMs;
        }

        JsonNode encode() {
            ObjectNode node =
                    Json.object()
                            .put("t", pool.type())
                            .put("p", pool.spot())
                            .put("z", zone)
                            .put("n", count)
                            .put("at", requestedAtMs)
                            .put("a", answered);
            var all = node.putArray("h");
            instanceNames.forEach(all::add);
            return node;
        }
    }

    private final Loop loop;
    private final CloudProvider cloud;
    private final FencedWriter writer;
    private final Fleet fleet;
    private final FencingToken fencingToken;
    private final double retryS;
    private final double noCapacityValidityS;
    private final BooleanSupplier leadershipConfirmed;
    private final Map<String, RentalRequest> rentalRequests = new LinkedHashMap<>();
    private final Map<String, Double> noCapacityUntil = new HashMap<>();

    /** Machines to be returned, with the reason. */
    private final Map<String, String> pendingReleases = new LinkedHashMap<>();

    private boolean releasing;
    private int sequence;
    private boolean stopped;

    /**
     * @param retryS after how long a request without an answer is repeated
     * @param refusalS how long a refusal for want of capacity is believed
     * @param confirmed whether the grant cannot have ended: a leader that has stood still must not
     *     return machines that the next one uses
     */
    public InstanceLifecycle(
            Loop loop,
            CloudProvider cloud,
            FencedWriter writer,
            Fleet fleet,
            FencingToken token,
            double retryS,
            double refusalS,
            BooleanSupplier confirmed) {
        this.loop = loop;
        this.cloud = cloud;
        this.writer = writer;
        this.fleet = fleet;
        this.fencingToken = token;
        this.retryS = retryS;
        this.noCapacityValidityS = refusalS;
        this.leadershipConfirmed = confirmed;
    }

    /** The leadership has ended: nothing is sent from here any more. */
    public void stop() {
        stopped = true;
    }

    /** Takes over an earlier leader's rental from its durable record. */
    public void restore(String name, JsonNode data) {
        RentalRequest hire =
                new RentalRequest(
                        name,
                        new InstancePool(data.path("t").asText(), data.path("p").asBoolean()),
                        data.path("z").asText(),
                        data.path("n").asInt(),
                        data.path("at").asLong());
        hire.answered = data.path("a").asBoolean();
        data.path("h").forEach(host -> hire.instanceNames.add(host.asText()));
        if (hire.answered && hire.instanceNames.isEmpty()) {
            return;
        }
        rentalRequests.put(name, hire);
        if (hire.answered) {
            hire.instanceNames.forEach(host -> expectMachine(hire, host));
        } else {
            sendRentalRequest(hire);
        }
    }

    private void expectMachine(RentalRequest hire, String host) {
        double ageS = Math.max(0, (loop.wallMs() - hire.requestedAtMs) / 1000.0);
        fleet.expectMachine(
                host, hire.pool.type(), hire.zone, hire.pool.spot(), loop.now() - ageS, loop.now());
    }

    /**
     * Whether no refusal for lack of capacity forbids to rent from that pool and zone at present.
     */
    public boolean mayHaveCapacity(InstancePool pool, String zone) {
        return noCapacityUntil.getOrDefault(pool + "@" + zone, Double.NEGATIVE_INFINITY)
                <= loop.now();
    }

    /** Machines asked for and not yet named by the cloud. */
    public int requestedCount(InstancePool pool) {
        return rentalRequests.values().stream()
                .filter(h -> !h.answered && h.pool.equals(pool))
                .mapToInt(h -> h.count)
                .sum();
    }

    /** The same in one zone. */
    public int requestedCount(InstancePool pool, String zone) {
        return rentalRequests.values().stream()
                .filter(h -> !h.answered && h.pool.equals(pool) && h.zone.equals(zone))
                .mapToInt(h -> h.count)
                .sum();
    }

    /**
     * Rents that many machines: each request becomes durable before it is sent. Called by the
     * sizer.
     */
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

    private void sendRentalRequest(RentalRequest hire) {
        if (stopped) {
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

    /**
     * Gives machines back. What is asked for once is repeated until the cloud confirms it: it may
     * take effect late.
     */
    public void release(Machine machine, String why) {
        if (!machine.releasing()) {
            LOG.debug("returning {}: {}", machine.describe(), why);
            fleet.markReleasing(machine);
            pendingReleases.put(machine.name, why);
            sendReleases();
        }
    }

    /** How many are waiting for the cloud's word. */
    public int releasing() {
        return pendingReleases.size();
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
