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
 * Routes requests from users, workers and the load balancer to their handlers, and records the
 * latency of the replies. Confined to the event loop.
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
     * @param healthy whether the load balancer should send users' requests to this controller
     * @param overview the body of {@code GET /api/nodes}
     */
    RequestRouter(
            Loop loop,
            UserRequests userRequests,
            HeartbeatHandler heartbeatHandler,
            BooleanSupplier healthy,
            Supplier<JsonNode> overview) {
        this.loop = loop;
        this.userRequests = userRequests;
        this.heartbeatHandler = heartbeatHandler;
        this.healthy = healthy;
        this.overview = overview;
    }

    /** Handles the request. {@code answer} is called exactly once, possibly after this returns. */
    void handle(InboundRequest request, Consumer<HttpReply> answer) {
        String path = request.path();
        if (path.startsWith(Controller.JOBS_PATH)) {
            handleJob(path.substring(Controller.JOBS_PATH.length()), request, answer);
            return;
        }
        switch (path) {
            case "/up" -> requireMethod("GET", request, answer, () -> answer.accept(health()));
            case Controller.HEARTBEAT_PATH ->
                    requireMethod(
                            "POST",
                            request,
                            answer,
                            () ->
                                    heartbeatHandler.handle(
                                            request, recordingLatency("beat", answer)));
            case "/api/jobs" ->
                    requireMethod(
                            "POST",
                            request,
                            answer,
                            () ->
                                    userRequests.submit(
                                            request.body(), recordingLatency("submit", answer)));
            case "/api/nodes" ->
                    requireMethod(
                            "GET",
                            request,
                            answer,
                            () -> answer.accept(HttpReply.json(200, overview.get())));
            default -> answer.accept(HttpReply.error(404, "no such path"));
        }
    }

    private void handleJob(String jobPath, InboundRequest request, Consumer<HttpReply> answer) {
        boolean cancellation = jobPath.endsWith(CANCEL_SUFFIX);
        String jobId =
                cancellation
                        ? jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length())
                        : jobPath;
        if (!JobMessages.isValidId(jobId)) {
            // A job with an invalid id cannot have been accepted.
            answer.accept(HttpReply.error(404, "no such job"));
        } else if (cancellation) {
            requireMethod(
                    "POST",
                    request,
                    answer,
                    () -> userRequests.cancel(jobId, recordingLatency("cancel", answer)));
        } else {
            requireMethod(
                    "GET",
                    request,
                    answer,
                    () -> userRequests.query(jobId, recordingLatency("query", answer)));
        }
    }

    private static void requireMethod(
            String method, InboundRequest request, Consumer<HttpReply> answer, Runnable action) {
        if (request.method().equals(method)) {
            action.run();
        } else {
            answer.accept(HttpReply.error(405, "want " + method));
        }
    }

    private HttpReply health() {
        return HttpReply.empty(healthy.getAsBoolean() ? 200 : 503);
    }

    private Consumer<HttpReply> recordingLatency(String operation, Consumer<HttpReply> answer) {
        double receivedAt = loop.now();
        return reply -> {
            latencies.record(operation, loop.now() - receivedAt);
            // The load balancer does not move open connections. Without closing the connection, a
            // client would keep sending its requests to a controller that cannot serve them.
            boolean close = reply.status() == 503 && !healthy.getAsBoolean();
            answer.accept(close ? reply.withConnectionClose() : reply);
        };
    }

    /** Returns the latencies of requests since the last summary; empty if there were none. */
    String latencySummary() {
        return latencies.summarizeAndReset();
    }
}
