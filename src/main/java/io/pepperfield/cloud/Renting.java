package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.steering.Pool;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Writer;
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
public final class Renting {

    private static final Logger LOG = LoggerFactory.getLogger(Renting.class);
    private static final int MOST_AT_ONCE = 50;
    private static final int MOST_RELEASED = 100;

    /** Batches up to this size are logged by name. */
    private static final int NAMED = 3;

    /**
     * One rental request: its idempotency key, what it asks for, and the machines it has brought.
     */
    private static final class Hire {
        final String name;
        final Pool pool;
        final String zone;
        final int count;
        final long atMs;
        final Set<String> hosts = new LinkedHashSet<>();

        /** Answered or given up: the record says which machines it brought. */
        boolean answered;

        Hire(String name, Pool pool, String zone, int count, long atMs) {
            this.name = name;
            this.pool = pool;
            this.zone = zone;
            this.count = count;
            this.atMs = atMs;
        }

        JsonNode write() {
            ObjectNode node =
                    Json.object()
                            .put("t", pool.type())
                            .put("p", pool.spot())
                            .put("z", zone)
                            .put("n", count)
                            .put("at", atMs)
                            .put("a", answered);
            var all = node.putArray("h");
            hosts.forEach(all::add);
            return node;
        }
    }

    private final Loop loop;
    private final Cloud cloud;
    private final Writer writer;
    private final Fleet fleet;
    private final long token;
    private final double retryS;
    private final double refusalS;
    private final BooleanSupplier confirmed;
    private final Map<String, Hire> hires = new LinkedHashMap<>();
    private final Map<String, Double> refusedUntil = new HashMap<>();

    /** Machines to be returned, with the reason. */
    private final Map<String, String> toRelease = new LinkedHashMap<>();

    private boolean releasing;
    private int sequence;
    private boolean stopped;

    /**
     * @param retryS after how long a request without an answer is repeated
     * @param refusalS how long a refusal for want of capacity is believed
     * @param confirmed whether the grant cannot have ended: a leader that has stood still must not
     *     return machines that the next one uses
     */
    public Renting(
            Loop loop,
            Cloud cloud,
            Writer writer,
            Fleet fleet,
            long token,
            double retryS,
            double refusalS,
            BooleanSupplier confirmed) {
        this.loop = loop;
        this.cloud = cloud;
        this.writer = writer;
        this.fleet = fleet;
        this.token = token;
        this.retryS = retryS;
        this.refusalS = refusalS;
        this.confirmed = confirmed;
    }

    /** The leadership has ended: nothing is sent from here any more. */
    public void stop() {
        stopped = true;
    }

    /** Takes over an earlier leader's rental from its durable record. */
    public void restore(String name, JsonNode data) {
        Hire hire =
                new Hire(
                        name,
                        new Pool(data.path("t").asText(), data.path("p").asBoolean()),
                        data.path("z").asText(),
                        data.path("n").asInt(),
                        data.path("at").asLong());
        hire.answered = data.path("a").asBoolean();
        data.path("h").forEach(host -> hire.hosts.add(host.asText()));
        if (hire.answered && hire.hosts.isEmpty()) {
            return;
        }
        hires.put(name, hire);
        if (hire.answered) {
            hire.hosts.forEach(host -> expect(hire, host));
        } else {
            request(hire);
        }
    }

    private void expect(Hire hire, String host) {
        double ageS = Math.max(0, (loop.wallMs() - hire.atMs) / 1000.0);
        fleet.expect(
                host, hire.pool.type(), hire.zone, hire.pool.spot(), loop.now() - ageS, loop.now());
    }

    /**
     * Whether no refusal for lack of capacity forbids to rent from that pool and zone at present.
     */
    public boolean open(Pool pool, String zone) {
        return refusedUntil.getOrDefault(pool + "@" + zone, Double.NEGATIVE_INFINITY) <= loop.now();
    }

    /** Machines asked for and not yet named by the cloud. */
    public int underWay(Pool pool) {
        return hires.values().stream()
                .filter(h -> !h.answered && h.pool.equals(pool))
                .mapToInt(h -> h.count)
                .sum();
    }

    /** The same in one zone. */
    public int underWay(Pool pool, String zone) {
        return hires.values().stream()
                .filter(h -> !h.answered && h.pool.equals(pool) && h.zone.equals(zone))
                .mapToInt(h -> h.count)
                .sum();
    }

    /**
     * Rents that many machines: each request becomes durable before it is sent. Called by the
     * sizer.
     */
    public void rent(Pool pool, String zone, int count) {
        for (int left = count; left > 0; left -= MOST_AT_ONCE) {
            Hire hire =
                    new Hire(
                            "p" + token + "-" + ++sequence,
                            pool,
                            zone,
                            Math.min(left, MOST_AT_ONCE),
                            loop.wallMs());
            hires.put(hire.name, hire);
            writer.mark(
                    Keys.HIRE + hire.name,
                    Writer.Priority.INTENT,
                    hire::write,
                    () -> request(hire),
                    null);
        }
    }

    private void request(Hire hire) {
        if (stopped) {
            return;
        }
        if (!confirmed.getAsBoolean()) {
            loop.after(retryS, () -> request(hire));
            return;
        }
        cloud.rent(
                hire.name,
                hire.pool.type(),
                hire.zone,
                hire.pool.spot(),
                hire.count,
                result -> {
                    if (stopped) {
                        return;
                    }
                    if (result instanceof Cloud.Rented.Failed failed) {
                        LOG.debug("{} is asked for again: {}", hire.name, failed.why());
                        loop.after(retryS, () -> request(hire));
                        return;
                    }
                    hire.answered = true;
                    int got = 0;
                    if (result instanceof Cloud.Rented.Machines machines) {
                        got = machines.names().size();
                        hire.hosts.addAll(machines.names());
                        // From now on, as it may have waited for its turn at the cloud: it has not
                        // booted for longer.
                        machines.names()
                                .forEach(
                                        host ->
                                                fleet.expect(
                                                        host,
                                                        hire.pool.type(),
                                                        hire.zone,
                                                        hire.pool.spot(),
                                                        loop.now(),
                                                        loop.now()));
                    }
                    if (got < hire.count) {
                        refusedUntil.put(hire.pool + "@" + hire.zone, loop.now() + refusalS);
                    }
                    LOG.info("rented {} of {} {} in {}", got, hire.count, hire.pool, hire.zone);
                    writer.mark(
                            Keys.HIRE + hire.name,
                            Writer.Priority.PATIENT,
                            hire::write,
                            null,
                            null);
                    if (hire.hosts.isEmpty()) {
                        hires.remove(hire.name);
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
            fleet.releasing(machine);
            toRelease.put(machine.name, why);
            send();
        }
    }

    /** How many are waiting for the cloud's word. */
    public int releasing() {
        return toRelease.size();
    }

    private void send() {
        if (releasing || stopped || toRelease.isEmpty()) {
            return;
        }
        releasing = true;
        // Those that are asked for in the same batch of commands go in one request.
        loop.post(
                () -> {
                    if (!confirmed.getAsBoolean()) {
                        releasing = false;
                        loop.after(retryS, this::send);
                        return;
                    }
                    List<String> names = toRelease.keySet().stream().limit(MOST_RELEASED).toList();
                    // One line for a batch: machines are lost and returned by the hundred.
                    Map<String, Integer> reasons = new TreeMap<>();
                    names.forEach(name -> reasons.merge(toRelease.get(name), 1, Integer::sum));
                    LOG.info(
                            "returning {} machines {}{}",
                            names.size(),
                            reasons,
                            names.size() <= NAMED ? " " + names : "");
                    cloud.release(
                            names,
                            done -> {
                                releasing = false;
                                if (stopped) {
                                    return;
                                }
                                if (!done) {
                                    loop.after(retryS, this::send);
                                    return;
                                }
                                names.forEach(toRelease::remove);
                                names.forEach(this::gone);
                                send();
                            });
                });
    }

    private void gone(String name) {
        fleet.gone(name);
        for (Hire hire : new ArrayList<>(hires.values())) {
            if (hire.hosts.remove(name)) {
                writer.mark(
                        Keys.HIRE + hire.name, Writer.Priority.PATIENT, hire::write, null, null);
                if (hire.hosts.isEmpty() && hire.answered) {
                    hires.remove(hire.name);
                }
            }
        }
    }
}
