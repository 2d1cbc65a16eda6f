import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/** The state service of PROTOCOL, in memory. */
final class StateService implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;

    private record Value(byte[] json, long stamp, long claim) {}

    private record Change(String key, byte[] json, long stamp) {}

    private static final class Grant {
        long ttlMs;
        long endsAt;
    }

    private final MiniHttp server;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private double rps;
    private double writeRps;
    private double valueKb;
    private int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private long generation;
    private long forgottenUpTo;
    private long lastClaim;
    private boolean out;
    /** Called with the number of changes of a transaction that gets 429; null for none. */
    IntConsumer onRefused;

    StateService(double rps, double writeRps, double valueKb, int txnOps) throws IOException {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        server = new MiniHttp(0, this::handle);
        Thread expiry =
                new Thread(
                        () -> {
                            while (true) {
                                expire();
                                try {
                                    Thread.sleep(20);
                                } catch (InterruptedException e) {
                                    return;
                                }
                            }
                        });
        expiry.setDaemon(true);
        expiry.start();
    }

    int port() {
        return server.port();
    }

    private synchronized void expire() {
        if (out) {
            return;
        }
        long now = System.nanoTime();
        for (Map.Entry<Long, Grant> entry : new ArrayList<>(grants.entrySet())) {
            if (entry.getValue().endsAt < now) {
                end(entry.getKey());
            }
        }
    }

    private void end(long claim) {
        if (grants.remove(claim) == null) {
            return;
        }
        List<String> attached = new ArrayList<>();
        values.forEach(
                (key, value) -> {
                    if (value.claim == claim) {
                        attached.add(key);
                    }
                });
        if (!attached.isEmpty()) {
            generation++;
            attached.forEach(
                    key -> {
                        values.remove(key);
                        log(new Change(key, null, generation));
                    });
            notifyAll();
        }
    }

    private void log(Change change) {
        changes.add(change);
        while (changes.size() > KEPT_CHANGES) {
            forgottenUpTo = changes.poll().stamp;
        }
    }

    /** Takes an outage; at its end every lease has its full time again. */
    synchronized void setOut(boolean outage) {
        out = outage;
        if (!outage) {
            grants.values().forEach(grant -> grant.endsAt = System.nanoTime() + grant.ttlMs * 1_000_000L);
            notifyAll();
        }
    }

    /** Lowers the limits; a bucket that holds more than one second's worth loses the excess. */
    synchronized void setLimits(double newRps, double newWriteRps, double newValueKb, int newTxnOps) {
        rps = newRps;
        writeRps = newWriteRps;
        valueKb = newValueKb;
        txnOps = newTxnOps;
        requestTokens = Math.min(requestTokens, rps);
        writeTokens = Math.min(writeTokens, writeRps);
    }

    synchronized JsonNode get(String key) {
        Value value = values.get(key);
        try {
            return value == null ? null : JSON.readTree(value.json);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean take(double writes) {
        long now = System.nanoTime();
        double elapsed = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + elapsed * rps);
        writeTokens = Math.min(writeRps, writeTokens + elapsed * writeRps);
        if (requestTokens < 1 || writes > 0 && writeTokens < writes) {
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private static MiniHttp.Response reply(int status, ObjectNode body) throws IOException {
        return new MiniHttp.Response(status, JSON.writeValueAsBytes(body));
    }

    private static ObjectNode object() {
        return JSON.createObjectNode();
    }

    private MiniHttp.Response handle(MiniHttp.Request request) throws Exception {
        String path = request.path();
        if (path.equals("/follow")) {
            return follow(request);
        }
        synchronized (this) {
            if (out) {
                return reply(503, object().put("error", "trouble"));
            }
            if (path.equals("/txn")) {
                JsonNode body = JSON.readTree(request.body());
                if (!take(body.path("apply").size())) {
                    if (onRefused != null) {
                        onRefused.accept(body.path("apply").size());
                    }
                    return reply(429, object().put("error", "too many"));
                }
                return transact(body, request.body().length);
            }
            if (!take(0)) {
                return reply(429, object().put("error", "too many"));
            }
            if (path.equals("/kv")) {
                return page(request);
            }
            if (path.startsWith("/kv/")) {
                Value value = values.get(path.substring(4));
                return value == null
                        ? reply(404, object().put("generation", generation))
                        : reply(
                                200,
                                object().put("k", path.substring(4))
                                        .put("stamp", value.stamp)
                                        .set("data", JSON.readTree(value.json)));
            }
            if (path.equals("/grants")) {
                Grant grant = new Grant();
                grant.ttlMs = JSON.readTree(request.body()).path("ttlMs").longValue();
                grant.endsAt = System.nanoTime() + grant.ttlMs * 1_000_000L;
                grants.put(++lastClaim, grant);
                return reply(200, object().put("claim", lastClaim));
            }
            if (path.startsWith("/grants/")) {
                String[] parts = path.split("/");
                long claim = Long.parseLong(parts[2]);
                Grant grant = grants.get(claim);
                if (grant == null) {
                    return reply(404, object().put("error", "no such lease"));
                }
                if (request.method().equals("DELETE")) {
                    end(claim);
                } else {
                    grant.endsAt = System.nanoTime() + grant.ttlMs * 1_000_000L;
                }
                return reply(200, object().put("claim", claim));
            }
            return reply(404, object());
        }
    }

    private MiniHttp.Response transact(JsonNode body, int size) throws IOException {
        JsonNode apply = body.path("apply");
        if (size > 64 * 1024 || apply.size() > txnOps || body.path("guards").size() > 4 * txnOps) {
            return reply(400, object().put("error", "too large"));
        }
        for (JsonNode change : apply) {
            if (change.has("set")
                    && JSON.writeValueAsBytes(change.get("data")).length > valueKb * 1024) {
                return reply(400, object().put("error", "value too large"));
            }
            long claim = change.path("claim").longValue();
            if (claim != 0 && !grants.containsKey(claim)) {
                return reply(400, object().put("error", "no such lease"));
            }
        }
        ArrayNode failed = JSON.createArrayNode();
        for (JsonNode guard : body.path("guards")) {
            Value value = values.get(guard.path("k").asText());
            if ((value == null ? 0 : value.stamp) != guard.path("stamp").longValue()) {
                failed.add(guard.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode conflict = object();
            conflict.set("failed", failed);
            return reply(409, conflict.put("generation", generation));
        }
        if (apply.size() > 0) {
            apply(apply);
        }
        return reply(200, object().put("generation", generation));
    }

    private void apply(JsonNode apply) throws IOException {
        generation++;
        for (JsonNode change : apply) {
            if (change.has("set")) {
                byte[] json = JSON.writeValueAsBytes(change.get("data"));
                String key = change.get("set").asText();
                values.put(key, new Value(json, generation, change.path("claim").longValue()));
                log(new Change(key, json, generation));
            } else {
                String key = change.get("delete").asText();
                if (values.remove(key) != null) {
                    log(new Change(key, null, generation));
                }
            }
        }
        notifyAll();
    }

    private MiniHttp.Response page(MiniHttp.Request request) throws IOException {
        String prefix = request.query().getOrDefault("starts", "");
        String since = request.query().get("since");
        int limit = Math.min(1000, Integer.parseInt(request.query().getOrDefault("limit", "1000")));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes("{\"pairs\":[".getBytes(StandardCharsets.UTF_8));
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<String, Value> entry :
                values.tailMap(since == null ? prefix : since, since == null).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (count >= limit || bytes.size() > MAX_PAGE_BYTES - 64 * 1024) {
                truncated = true;
                break;
            }
            if (count++ > 0) {
                bytes.write(',');
            }
            bytes.writeBytes(
                    ("{\"k\":" + JSON.writeValueAsString(entry.getKey()) + ",\"stamp\":"
                                    + entry.getValue().stamp + ",\"data\":")
                            .getBytes(StandardCharsets.UTF_8));
            bytes.writeBytes(entry.getValue().json);
            bytes.write('}');
        }
        bytes.writeBytes(
                ("],\"truncated\":" + truncated + ",\"generation\":" + generation + "}")
                        .getBytes(StandardCharsets.UTF_8));
        return new MiniHttp.Response(200, bytes.toByteArray());
    }

    private synchronized MiniHttp.Response follow(MiniHttp.Request request) throws Exception {
        if (out) {
            return reply(503, object().put("error", "trouble"));
        }
        if (!take(0)) {
            return reply(429, object().put("error", "too many"));
        }
        String prefix = request.query().getOrDefault("starts", "");
        long since = Long.parseLong(request.query().get("since"));
        long holdMs = Math.min(60_000, Long.parseLong(request.query().getOrDefault("holdMs", "0")));
        long until = System.nanoTime() + holdMs * 1_000_000L;
        while (true) {
            if (since < forgottenUpTo) {
                return reply(410, object().put("error", "too old"));
            }
            ByteArrayOutputStream events = new ByteArrayOutputStream();
            if (!out) {
                var newest = changes.descendingIterator();
                List<Change> found = new ArrayList<>();
                while (newest.hasNext()) {
                    Change change = newest.next();
                    if (change.stamp <= since) {
                        break;
                    }
                    if (change.key.startsWith(prefix)) {
                        found.add(change);
                    }
                }
                java.util.Collections.reverse(found);
                for (Change change : found) {
                    if (events.size() > 0) {
                        events.write(',');
                    }
                    String kind = change.json == null ? "delete" : "set";
                    events.writeBytes(
                            ("{\"" + kind + "\":" + JSON.writeValueAsString(change.key)
                                            + ",\"stamp\":" + change.stamp)
                                    .getBytes(StandardCharsets.UTF_8));
                    if (change.json != null) {
                        events.writeBytes(",\"data\":".getBytes(StandardCharsets.UTF_8));
                        events.writeBytes(change.json);
                    }
                    events.write('}');
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000L;
            if (events.size() > 0 || !out && leftMs <= 0) {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes(
                        ("{\"generation\":" + generation + ",\"events\":[")
                                .getBytes(StandardCharsets.UTF_8));
                bytes.writeBytes(events.toByteArray());
                bytes.writeBytes("]}".getBytes(StandardCharsets.UTF_8));
                return new MiniHttp.Response(200, bytes.toByteArray());
            }
            wait(Math.max(1, out ? 100 : leftMs));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
