package io.pepperfield.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Call;
import io.pepperfield.http.Reply;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.loop.Loop;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Takes the requests of users, workers and the load balancer to whoever answers them, and keeps how
 * long the answers took.
 */
final class RequestRouter {

    private static final String CANCEL = "/cancel";

    private final Loop loop;
    private final UserRequests users;
    private final ReportHandler reports;
    private final BooleanSupplier healthy;
    private final Supplier<JsonNode> overview;
    private final Latencies latencies = new Latencies();

    /**
     * @param healthy whether this node is to get users' requests
     */
    RequestRouter(
            Loop loop,
            UserRequests users,
            ReportHandler reports,
            BooleanSupplier healthy,
            Supplier<JsonNode> overview) {
        this.loop = loop;
        this.users = users;
        this.reports = reports;
        this.healthy = healthy;
        this.overview = overview;
    }

    void handle(Call call, Consumer<Reply> answer) {
        String path = call.path();
        if (path.startsWith(Controller.JOBS)) {
            handleJob(path.substring(Controller.JOBS.length()), call, answer);
            return;
        }
        switch (path) {
            case "/up" -> only("GET", call, answer, () -> answer.accept(health()));
            case Controller.BEAT ->
                    only("POST", call, answer, () -> reports.beat(call, timed("beat", answer)));
            case "/api/jobs" ->
                    only(
                            "POST",
                            call,
                            answer,
                            () -> users.submit(call.body(), timed("submit", answer)));
            case "/api/nodes" ->
                    only("GET", call, answer, () -> answer.accept(Reply.json(200, overview.get())));
            default -> answer.accept(Reply.error(404, "no such path"));
        }
    }

    private void handleJob(String rest, Call call, Consumer<Reply> answer) {
        boolean cancel = rest.endsWith(CANCEL);
        String id = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
        if (!JobMessages.validId(id)) {
            // No job of such a name can ever have been accepted.
            answer.accept(Reply.error(404, "no such job"));
        } else if (cancel) {
            only("POST", call, answer, () -> users.cancel(id, timed("cancel", answer)));
        } else {
            only("GET", call, answer, () -> users.query(id, timed("query", answer)));
        }
    }

    private static void only(String method, Call call, Consumer<Reply> answer, Runnable then) {
        if (call.method().equals(method)) {
            then.run();
        } else {
            answer.accept(Reply.error(405, "want " + method));
        }
    }

    private Reply health() {
        return Reply.empty(healthy.getAsBoolean() ? 200 : 503);
    }

    private Consumer<Reply> timed(String kind, Consumer<Reply> answer) {
        double began = loop.now();
        return reply -> {
            latencies.record(kind, loop.now() - began);
            // Open connections are never moved: a user on one to a node that can answer nobody
            // would ask there for ever.
            boolean close = reply.status() == 503 && !healthy.getAsBoolean();
            answer.accept(close ? reply.closing() : reply);
        };
    }

    /** How long requests took since the last summary; empty where there were none. */
    String latencySummary() {
        return latencies.summary();
    }
}
