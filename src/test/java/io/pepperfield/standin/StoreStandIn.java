package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * In-memory implementation of the state service's published protocol. Not thread-safe: all calls
 * must be made from one thread.
 */
public final class StoreStandIn {

    /** A key's value, the revision of its last write and the grant it is attached to. */
    private record Entry(JsonNode data, long modRevision, long grant) {}

    /** A change to a key; {@code data} is null for a deletion. */
    private record Event(String key, JsonNode data, long modRevision) {}

    /** A pending follow request. */
    private record Watch(
            String from, String prefix, long since, double until, Consumer<HttpReply> answer) {}

    /** A grant's TTL in seconds and the time at which it expires. */
    private static final class Grant {
        final double ttl;
        double until;

        Grant(double ttl, double until) {
            this.ttl = ttl;
            this.until = until;
        }
    }

    private static final String FINAL_STATES = "pepperfield/end/";

    private final DoubleSupplier clock;
    private final int maxEvents;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;

    /** Number of keys written or deleted. */
    public int mutations;

    /** Total size in bytes of all values written. */
    long bytesWritten;

    private long nextGrant = 1;
    private long compactedRevision;
    private boolean outageActive;

    /** Callers whose requests are answered with 503, with the end of that period. */
    private final Map<String, Double> refusedUntil = new HashMap<>();

    public StoreStandIn(DoubleSupplier clock, int maxEvents) {
        this.clock = clock;
        this.maxEvents = maxEvents;
    }

    /** While true, no grants are created, so that no leader can be elected. */
    public boolean grantsStalled;

    /** Time until which every grant request is answered with 429. */
    double grantsRefusedUntil;

    /** The rate and size limits to enforce, or null for none. */
    StoreLimitsStandIn limits;

    /**
     * Writes that no controller may make: accepting a job a second time, or storing a value that
     * the recorded version could not read.
     */
    List<String> violations = new ArrayList<>();

    /** Called for every final job state that is stored. */
    Consumer<Decision> onDecision = decision -> {};

    /** Rules checked on every transaction while stored-state versions change, or null for none. */
    RolloutRules rolloutRules;

    /** Begins or ends an outage. When it ends, every grant is renewed for its full TTL. */
    public void setOutage(boolean active) {
        outageActive = active;
        if (!active) {
            grants.values().forEach(grant -> grant.until = clock.getAsDouble() + grant.ttl);
        }
    }

    /**
     * Answers one caller with 503 until the given time, while others are served. Its open watches
     * stay pending and its grants cannot be renewed.
     */
    public void refuseCaller(String from, double until) {
        refusedUntil.merge(from, until, Math::max);
    }

    private boolean isRefused(String from) {
        return clock.getAsDouble() < refusedUntil.getOrDefault(from, 0.0);
    }

    public JsonNode get(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.data;
    }

    public Iterable<String> keys() {
        return entries.keySet();
    }

    /** Expires grants and answers watches that are due; must be called frequently. */
    public void tick() {
        if (outageActive) {
            return;
        }
        double now = clock.getAsDouble();
        for (Long id : List.copyOf(grants.keySet())) {
            if (grants.get(id).until <= now) {
                expireGrant(id);
            }
        }
        answerWatches(now);
    }

    private void expireGrant(long id) {
        grants.remove(id);
        List<String> expiredKeys =
                entries.entrySet().stream()
                        .filter(entry -> entry.getValue().grant == id)
                        .map(Map.Entry::getKey)
                        .toList();
        if (!expiredKeys.isEmpty()) {
            revision++;
            expiredKeys.forEach(
                    key -> {
                        entries.remove(key);
                        events.add(new Event(key, null, revision));
                    });
        }
    }

    private void answerWatches(double now) {
        for (Iterator<Watch> it = watches.iterator(); it.hasNext(); ) {
            Watch watch = it.next();
            if (isRefused(watch.from)) {
                continue;
            }
            boolean hasNewEvents =
                    events.stream()
                            .anyMatch(
                                    entry ->
                                            entry.modRevision > watch.since
                                                    && entry.key.startsWith(watch.prefix));
            if (hasNewEvents || watch.until <= now) {
                it.remove();
                watch.answer.accept(eventsSince(watch.prefix, watch.since));
            }
        }
    }

    private HttpReply eventsSince(String prefix, long since) {
        if (since < compactedRevision) {
            return HttpReply.empty(410);
        }
        ObjectNode body = Json.object().put("generation", revision);
        ArrayNode all = body.putArray("events");
        for (Event event : events) {
            if (event.modRevision > since && event.key.startsWith(prefix)) {
                ObjectNode eventNode = all.addObject();
                if (event.data == null) {
                    eventNode.put("delete", event.key);
                } else {
                    eventNode.put("set", event.key).set("data", event.data);
                }
                eventNode.put("stamp", event.modRevision);
            }
        }
        return HttpReply.json(200, body);
    }

    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        handle("", request, answer);
    }

    public void handle(String from, InboundRequest request, Consumer<HttpReply> answer) {
        if (isRefused(from)) {
            answer.accept(HttpReply.empty(503));
            return;
        }
        int refusal = outageActive ? StoreLimitsStandIn.ALLOWED : refusal(request);
        if (refusal != StoreLimitsStandIn.ALLOWED) {
            answer.accept(HttpReply.empty(refusal));
        } else if (request.path().equals("/follow")) {
            String prefix = request.queryParameter("starts", "");
            long since = Long.parseLong(request.queryParameter("since", "0"));
            double holdS = Double.parseDouble(request.queryParameter("holdMs", "0")) / 1000;
            if (outageActive && holdS == 0) {
                answer.accept(HttpReply.empty(503));
                return;
            }
            watches.add(new Watch(from, prefix, since, clock.getAsDouble() + holdS, answer));
        } else {
            answer.accept(outageActive ? HttpReply.empty(503) : reply(request));
        }
        if (!outageActive) {
            answerWatches(clock.getAsDouble());
        }
    }

    private int refusal(InboundRequest request) {
        double now = clock.getAsDouble();
        if (request.path().startsWith("/grants") && now < grantsRefusedUntil) {
            return StoreLimitsStandIn.TOO_MANY_REQUESTS;
        }
        return limits == null ? StoreLimitsStandIn.ALLOWED : limits.refusalStatus(request, now);
    }

    private HttpReply reply(InboundRequest request) {
        JsonNode body = Json.read(request.body());
        if (request.path().equals("/txn")) {
            return txn(body);
        }
        if (request.path().equals("/kv")) {
            return range(
                    request.queryParameter("starts", ""),
                    request.queryParameter("since", ""),
                    Integer.parseInt(request.queryParameter("limit", "1000")));
        }
        if (request.path().equals("/grants")) {
            if (grantsStalled) {
                return HttpReply.error(503, "trouble");
            }
            double ttl = body.path("ttlMs").asDouble() / 1000;
            grants.put(nextGrant, new Grant(ttl, clock.getAsDouble() + ttl));
            return HttpReply.json(200, Json.object().put("claim", nextGrant++));
        }
        if (request.path().startsWith("/grants/")) {
            String rest = request.path().substring("/grants/".length());
            long id = Long.parseLong(rest.replace("/touch", ""));
            Grant grant = grants.get(id);
            if (grant == null) {
                return HttpReply.empty(404);
            }
            if (request.method().equals("DELETE")) {
                expireGrant(id);
            } else {
                grant.until = clock.getAsDouble() + grant.ttl;
            }
            return HttpReply.json(200, Json.object());
        }
        return HttpReply.empty(400);
    }

    private HttpReply txn(JsonNode body) {
        ObjectNode result = Json.object();
        ArrayNode failed = Json.array();
        for (JsonNode op : body.path("apply")) {
            if (op.has("claim") && !grants.containsKey(op.path("claim").longValue())) {
                return HttpReply.json(400, Json.object().put("error", "no such lease"));
            }
        }
        for (JsonNode guard : body.path("guards")) {
            Entry entry = entries.get(guard.path("k").asText());
            if ((entry == null ? 0 : entry.modRevision) != guard.path("stamp").longValue()) {
                failed.add(guard.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            result.set("failed", failed);
            return HttpReply.json(409, result.put("generation", revision));
        }
        if (!body.path("apply").isEmpty()) {
            revision++;
        }
        mutations += body.path("apply").size();
        for (JsonNode op : body.path("apply")) {
            if (op.has("delete")) {
                entries.remove(op.path("delete").asText());
                events.add(new Event(op.path("delete").asText(), null, revision));
            } else {
                String key = op.path("set").asText();
                check(key, op.get("data"));
                if (key.startsWith(FINAL_STATES)) {
                    String job = key.substring(FINAL_STATES.length());
                    onDecision.accept(Decision.finalState(job, op.get("data").path("s").asText()));
                }
                bytesWritten += Json.write(op.get("data")).length;
                entries.put(key, new Entry(op.get("data"), revision, op.path("claim").longValue()));
                events.add(new Event(key, op.get("data"), revision));
            }
        }
        while (events.size() > maxEvents) {
            compactedRevision = events.remove(0).modRevision;
        }
        if (rolloutRules != null) {
            rolloutRules.checkCommit(body, entries.navigableKeySet(), this::get);
        }
        return HttpReply.json(200, result.put("generation", revision));
    }

    private void check(String key, JsonNode data) {
        if (key.startsWith("pepperfield/job/") && entries.containsKey(key)) {
            violations.add(clock.getAsDouble() + " accepted twice: " + key);
        }
        boolean newFormat = rolloutRules != null && RolloutRules.isNewKey(key);
        if (!newFormat && !RecordedForms.isReadableValue(key, data)) {
            violations.add(clock.getAsDouble() + " unknown record format: " + key + " " + data);
        }
    }

    private HttpReply range(String prefix, String after, int limit) {
        ObjectNode body = Json.object().put("generation", revision);
        ArrayNode pairs = body.putArray("pairs");
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (pairs.size() == limit) {
                return HttpReply.json(200, body.put("truncated", true));
            }
            pairs.addObject()
                    .put("k", entry.getKey())
                    .put("stamp", entry.getValue().modRevision)
                    .set("data", entry.getValue().data);
        }
        return HttpReply.json(200, body.put("truncated", false));
    }

    /** Returns the dependencies of a stored job. */
    List<String> dependencies(String job) {
        List<String> ids = new ArrayList<>();
        get("pepperfield/job/" + job).path("aw").forEach(id -> ids.add(id.asText()));
        return ids;
    }
}
