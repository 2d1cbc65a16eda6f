package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Sender;
import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The state service over its published protocol; the only place that knows its field names. */
public final class HttpStateService implements StateService {

    /**
     * One for each kind of request that can be under way at once: the open watch, a confirmation, a
     * reading in pages, submissions, cancellations, the leader's writes, a new token, the end of a
     * grant and the renewal. While the service is slow, a renewal that had to wait for one of the
     * others would come too late and end a leadership.
     */
    private static final int CONNECTIONS = 9;

    private static final int PAGE = 500;

    /**
     * Longer than its slow answers of a few hundred milliseconds, shorter than a user's patience of
     * 2 s.
     */
    private static final double DEADLINE_S = 1.2;

    private final Loop loop;
    private final Sender client;
    private final Settings.Address address;
    private final Budget budget;

    /** Creates a client that sends nothing before its rates are set by {@link #share}. */
    public HttpStateService(Loop loop, Sender client, Settings.Address address) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.budget = new Budget(loop);
    }

    /** Sets this node's part of the service's rates, all per second. */
    public void share(double requestRate, double leadersWriteRate, double usersWriteRate) {
        budget.share(requestRate, leadersWriteRate, usersWriteRate);
    }

    @Override
    public void txn(
            Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done) {
        ObjectNode body = Json.object();
        ArrayNode conditions = body.putArray("guards");
        guards.forEach(g -> conditions.addObject().put("k", g.key()).put("stamp", g.stamp()));
        ArrayNode apply = body.putArray("apply");
        for (Change change : changes) {
            ObjectNode op = apply.addObject();
            if (change.data() == null) {
                op.put("delete", change.key());
                continue;
            }
            op.put("set", change.key()).set("data", change.data());
            if (change.grant() != 0) {
                op.put("claim", change.grant());
            }
        }
        byte[] bytes = Json.write(body);
        budget.submit(
                urgency,
                changes.size(),
                DEADLINE_S,
                () ->
                        send(
                                "POST",
                                "/txn",
                                bytes,
                                DEADLINE_S,
                                outcome -> done.accept(txnResult(outcome))),
                () -> done.accept(new TxnResult.Refused(429)));
    }

    private static TxnResult txnResult(Outcome outcome) {
        if (outcome instanceof Outcome.NotSent) {
            return new TxnResult.Refused(0);
        }
        if (!(outcome instanceof Outcome.Answered answer)) {
            return new TxnResult.Unknown();
        }
        JsonNode body = answer.json();
        return switch (answer.status()) {
            case 200 ->
                    body.path("generation").isIntegralNumber()
                            ? new TxnResult.Committed(body.path("generation").longValue())
                            : new TxnResult.Unknown();
            case 409 -> {
                List<String> failed = new ArrayList<>();
                body.path("failed").forEach(key -> failed.add(key.asText()));
                yield new TxnResult.Conflict(failed);
            }
            case 400, 429, 503 -> new TxnResult.Refused(answer.status());
            // Anything else may come from something in between, after the service had done its
            // work.
            default -> new TxnResult.Unknown();
        };
    }

    @Override
    public void range(String after, Consumer<ReadResult> done) {
        String path =
                "/kv?starts="
                        + Keys.ROOT
                        + "&limit="
                        + PAGE
                        + (after.isEmpty() ? "" : "&since=" + after);
        budget.submit(
                Urgency.READ,
                0,
                DEADLINE_S,
                () ->
                        send(
                                "GET",
                                path,
                                null,
                                2 * DEADLINE_S,
                                outcome -> {
                                    if (outcome instanceof Outcome.Answered answer
                                            && answer.status() == 200) {
                                        JsonNode body = answer.json();
                                        done.accept(
                                                new ReadResult.Read(
                                                        StateAnswers.pairs(body),
                                                        body.path("truncated").asBoolean(),
                                                        body.path("generation").longValue()));
                                    } else {
                                        done.accept(new ReadResult.Failed());
                                    }
                                }),
                () -> done.accept(new ReadResult.Failed()));
    }

    @Override
    public void follow(long since, double holdS, Consumer<ReadResult> done) {
        String path =
                "/follow?starts="
                        + Keys.ROOT
                        + "&since="
                        + since
                        + "&holdMs="
                        + Math.round(holdS * 1000);
        budget.submit(
                Urgency.READ,
                0,
                DEADLINE_S,
                () ->
                        send(
                                "GET",
                                path,
                                null,
                                holdS + DEADLINE_S,
                                outcome -> {
                                    if (!(outcome instanceof Outcome.Answered answer)
                                            || answer.status() != 200 && answer.status() != 410) {
                                        done.accept(new ReadResult.Failed());
                                        return;
                                    }
                                    if (answer.status() == 410) {
                                        done.accept(new ReadResult.TooOld());
                                        return;
                                    }
                                    JsonNode body = answer.json();
                                    if (!body.path("generation").isIntegralNumber()) {
                                        done.accept(new ReadResult.Failed());
                                        return;
                                    }
                                    done.accept(
                                            new ReadResult.Read(
                                                    StateAnswers.events(body),
                                                    false,
                                                    body.path("generation").longValue()));
                                }),
                () -> done.accept(new ReadResult.Failed()));
    }

    @Override
    public void grant(double ttlS, Consumer<GrantResult> done) {
        byte[] body = Json.write(Json.object().put("ttlMs", Math.round(ttlS * 1000)));
        budget.submit(
                Urgency.GRANT,
                0,
                0,
                () ->
                        send(
                                "POST",
                                "/grants",
                                body,
                                DEADLINE_S,
                                outcome -> {
                                    boolean granted =
                                            outcome instanceof Outcome.Answered answer
                                                    && answer.status() == 200;
                                    done.accept(
                                            new GrantResult(
                                                    granted
                                                            ? ((Outcome.Answered) outcome)
                                                                    .json()
                                                                    .path("claim")
                                                                    .longValue()
                                                            : 0,
                                                    false));
                                }),
                () -> {});
    }

    @Override
    public void touch(long id, Consumer<GrantResult> done) {
        budget.submit(
                Urgency.GRANT,
                0,
                0,
                () ->
                        send(
                                "POST",
                                "/grants/" + id + "/touch",
                                new byte[0],
                                DEADLINE_S,
                                outcome -> {
                                    int status =
                                            outcome instanceof Outcome.Answered answer
                                                    ? answer.status()
                                                    : 0;
                                    done.accept(
                                            new GrantResult(status == 200 ? id : 0, status == 404));
                                }),
                () -> {});
    }

    @Override
    public void endGrant(long id) {
        budget.submit(
                Urgency.GRANT,
                0,
                0,
                () -> send("DELETE", "/grants/" + id, null, DEADLINE_S, outcome -> {}),
                () -> {});
    }

    private void send(
            String method, String path, byte[] body, double deadlineS, Consumer<Outcome> done) {
        client.send(
                address.host(),
                address.port(),
                CONNECTIONS,
                method,
                path,
                body,
                Math.round(deadlineS * 1000),
                outcome -> loop.post(() -> done.accept(outcome)));
    }
}
