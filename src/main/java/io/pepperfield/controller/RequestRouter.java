package io.pepperfield.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.cluster.LatencyHistograms;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
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

    private static final String CANCEL_SUFFIX = "/cancel";

    private final Loop loop;
    private final UserRequests userRequests;
    private final HeartbeatHandler heartbeatHandler;
    private final BooleanSupplier healthy;
    private final Supplier<JsonNode> overview;
    private final LatencyHistograms latencies = new LatencyHistograms();

    /**
     * @param healthy whether this node is to get users' requests
     */
    RequestRouter(
            Loop loop,
            UserRequests users,
            HeartbeatHandler reports,
            BooleanSupplier healthy,
            Supplier<JsonNode> overview) {
        this.loop = loop;
        this.userRequests = users;
        this.heartbeatHandler = reports;
        this.healthy = healthy;
        this.overview = overview;
    }

    void handle(InboundRequest call, Consumer<HttpReply> answer) {
        String path = call.path();
        if (path.startsWith(Controller.JOBS_PATH)) {
            handleJob(path.substring(Controller.JOBS_PATH.length()), call, answer);
            return;
        }
        switch (path) {
            case "/up" -> requireMethod("GET", call, answer, () -> answer.accept(health()));
            case Controller.HEARTBEAT_PATH ->
                    requireMethod(
                            "POST",
                            call,
                            answer,
                            () -> heartbeatHandler.handle(call, recordingLatency("beat", answer)));
            case "/api/jobs" ->
                    requireMethod(
                            "POST",
                            call,
                            answer,
                            () ->
                                    userRequests.submit(
                                            call.body(), recordingLatency("submit", answer)));
            case "/api/nodes" ->
                    requireMethod(
                            "GET",
                            call,
                            answer,
                            () -> answer.accept(HttpReply.json(200, overview.get())));
            default -> answer.accept(HttpReply.error(404, "no such path"));
        }
    }

    private void handleJob(String rest, InboundRequest call, Consumer<HttpReply> answer) {
        boolean cancel = rest.endsWith(CANCEL_SUFFIX);
        String id = cancel ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
        if (!JobMessages.validId(id)) {
            // No job of such a name can ever have been accepted.
            answer.accept(HttpReply.error(404, "no such job"));
        } else if (cancel) {
            requireMethod(
                    "POST",
                    call,
                    answer,
                    () -> userRequests.cancel(id, recordingLatency("cancel", answer)));
        } else {
            requireMethod(
                    "GET",
                    call,
                    answer,
                    () -> userRequests.query(id, recordingLatency("query", answer)));
        }
    }

    private static void requireMethod(
            String method, InboundRequest call, Consumer<HttpReply> answer, Runnable then) {
        if (call.method().equals(method)) {
            then.run();
        } else {
            answer.accept(HttpReply.error(405, "want " + method));
        }
    }

    private HttpReply health() {
        return HttpReply.empty(healthy.getAsBoolean() ? 200 : 503);
    }

    private Consumer<HttpReply> recordingLatency(String kind, Consumer<HttpReply> answer) {
        double began = loop.now();
        return reply -> {
            latencies.record(kind, loop.now() - began);
            // Open connections are never moved: a user on one to a node that can answer nobody
            // would ask there for ever.
            boolean close = reply.status() == 503 && !healthy.getAsBoolean();
            answer.accept(close ? reply.closingConnection() : reply);
        };
    }

    /** How long requests took since the last summary; empty where there were none. */
    String latencySummary() {
        return latencies.summarizeAndReset();
    }
}
