package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The state service over its published protocol; the only place that knows its field names. */
public final class HttpKeyValueStore implements KeyValueStore {

    /**
     * One for each kind of request that can be under way at once: the open watch, a confirmation, a
     * reading in pages, submissions, cancellations, the leader's writes, a new token, the end of a
     * grant and the renewal. While the service is slow, a renewal that had to wait for one of the
     * others would come too late and end a leadership.
     */
    private static final int MAX_CONNECTIONS = 9;

    private static final int PAGE_SIZE = 500;

    /**
     * Longer than its slow answers of a few hundred milliseconds, shorter than a user's patience of
     * 2 s.
     */
    private static final double REQUEST_TIMEOUT_S = 1.2;

    private final Loop loop;
    private final HttpSender client;
    private final Settings.Address address;
    private final RateLimiter rateLimiter;

    /** Creates a client that sends nothing before its rates are set by {@link #setRates}. */
    public HttpKeyValueStore(Loop loop, HttpSender client, Settings.Address address) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.rateLimiter = new RateLimiter(loop);
    }

    /** Sets this node's part of the service's rates, all per second. */
    public void setRates(double requestRate, double leadersWriteRate, double usersWriteRate) {
        rateLimiter.setRates(requestRate, leadersWriteRate, usersWriteRate);
    }

    @Override
    public void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done) {
        ObjectNode body = Json.object();
        ArrayNode conditions = body.putArray("guards");
        guards.forEach(g -> conditions.addObject().put("k", g.key()).put("stamp", g.modRevision()));
        ArrayNode apply = body.putArray("apply");
        for (Mutation change : changes) {
            ObjectNode op = apply.addObject();
            if (change.value() == null) {
                op.put("delete", change.key());
                continue;
            }
            op.put("set", change.key()).set("data", change.value());
            if (change.grant() != 0) {
                op.put("claim", change.grant());
            }
        }
        byte[] bytes = Json.write(body);
        rateLimiter.submit(
                urgency,
                changes.size(),
                REQUEST_TIMEOUT_S,
                () ->
                        send(
                                "POST",
                                "/txn",
                                bytes,
                                REQUEST_TIMEOUT_S,
                                outcome -> done.accept(compareAndSwapOutcome(outcome))),
                () -> done.accept(new CompareAndSwapOutcome.Refused(429)));
    }

    private static CompareAndSwapOutcome compareAndSwapOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent) {
            return new CompareAndSwapOutcome.Refused(0);
        }
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            return new CompareAndSwapOutcome.Unknown();
        }
        JsonNode body = answer.json();
        return switch (answer.status()) {
            case 200 ->
                    body.path("generation").isIntegralNumber()
                            ? new CompareAndSwapOutcome.Committed(
                                    body.path("generation").longValue())
                            : new CompareAndSwapOutcome.Unknown();
            case 409 -> {
                List<String> failed = new ArrayList<>();
                body.path("failed").forEach(key -> failed.add(key.asText()));
                yield new CompareAndSwapOutcome.Conflict(failed);
            }
            case 400, 429, 503 -> new CompareAndSwapOutcome.Refused(answer.status());
            // Anything else may come from something in between, after the service had done its
            // work.
            default -> new CompareAndSwapOutcome.Unknown();
        };
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        String path =
                "/kv?starts="
                        + Keys.ROOT
                        + "&limit="
                        + PAGE_SIZE
                        + (after.isEmpty() ? "" : "&since=" + after);
        rateLimiter.submit(
                RequestPriority.READ,
                0,
                REQUEST_TIMEOUT_S,
                () ->
                        send(
                                "GET",
                                path,
                                null,
                                2 * REQUEST_TIMEOUT_S,
                                outcome -> {
                                    if (outcome instanceof HttpOutcome.Answered answer
                                            && answer.status() == 200) {
                                        JsonNode body = answer.json();
                                        done.accept(
                                                new ReadResult.Read(
                                                        KeyValueResponses.pairs(body),
                                                        body.path("truncated").asBoolean(),
                                                        body.path("generation").longValue()));
                                    } else {
                                        done.accept(new ReadResult.Failed());
                                    }
                                }),
                () -> done.accept(new ReadResult.Failed()));
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        String path =
                "/follow?starts="
                        + Keys.ROOT
                        + "&since="
                        + since
                        + "&holdMs="
                        + Math.round(holdS * 1000);
        rateLimiter.submit(
                RequestPriority.READ,
                0,
                REQUEST_TIMEOUT_S,
                () ->
                        send(
                                "GET",
                                path,
                                null,
                                holdS + REQUEST_TIMEOUT_S,
                                outcome -> {
                                    if (!(outcome instanceof HttpOutcome.Answered answer)
                                            || answer.status() != 200 && answer.status() != 410) {
                                        done.accept(new ReadResult.Failed());
                                        return;
                                    }
                                    if (answer.status() == 410) {
                                        done.accept(new ReadResult.RevisionTooOld());
                                        return;
                                    }
                                    JsonNode body = answer.json();
                                    if (!body.path("generation").isIntegralNumber()) {
                                        done.accept(new ReadResult.Failed());
                                        return;
                                    }
                                    done.accept(
                                            new ReadResult.Read(
                                                    KeyValueResponses.events(body),
                                                    false,
                                                    body.path("generation").longValue()));
                                }),
                () -> done.accept(new ReadResult.Failed()));
    }

    @Override
    public void createGrant(double ttlS, Consumer<GrantResult> done) {
        byte[] body = Json.write(Json.object().put("ttlMs", Math.round(ttlS * 1000)));
        rateLimiter.submit(
                RequestPriority.GRANT,
                0,
                0,
                () ->
                        send(
                                "POST",
                                "/grants",
                                body,
                                REQUEST_TIMEOUT_S,
                                outcome -> {
                                    boolean granted =
                                            outcome instanceof HttpOutcome.Answered answer
                                                    && answer.status() == 200;
                                    done.accept(
                                            new GrantResult(
                                                    granted
                                                            ? ((HttpOutcome.Answered) outcome)
                                                                    .json()
                                                                    .path("claim")
                                                                    .longValue()
                                                            : 0,
                                                    false));
                                }),
                () -> {});
    }

    @Override
    public void renewGrant(long id, Consumer<GrantResult> done) {
        rateLimiter.submit(
                RequestPriority.GRANT,
                0,
                0,
                () ->
                        send(
                                "POST",
                                "/grants/" + id + "/touch",
                                new byte[0],
                                REQUEST_TIMEOUT_S,
                                outcome -> {
                                    int status =
                                            outcome instanceof HttpOutcome.Answered answer
                                                    ? answer.status()
                                                    : 0;
                                    done.accept(
                                            new GrantResult(status == 200 ? id : 0, status == 404));
                                }),
                () -> {});
    }

    @Override
    public void revokeGrant(long id) {
        rateLimiter.submit(
                RequestPriority.GRANT,
                0,
                0,
                () -> send("DELETE", "/grants/" + id, null, REQUEST_TIMEOUT_S, outcome -> {}),
                () -> {});
    }

    private void send(
            String method, String path, byte[] body, double deadlineS, Consumer<HttpOutcome> done) {
        client.send(
                new OutboundRequest(
                        address.host(),
                        address.port(),
                        MAX_CONNECTIONS,
                        method,
                        path,
                        body,
                        Math.round(deadlineS * 1000)),
                outcome -> loop.post(() -> done.accept(outcome)));
    }
}
