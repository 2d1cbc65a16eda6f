package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Sends direct messages to the workers' agents over their published HTTP protocol. Used on the
 * event loop thread only, which also runs the callbacks.
 */
public final class HttpWorkerClient implements WorkerClient {

    private static final int STATUS_OK = 200;

    /** The agent has seen a newer fencing token or runs in another incarnation. */
    private static final int STATUS_ORDERS_REFUSED = 409;

    private final Loop loop;
    private final HttpSender client;
    private final long timeoutMs;

    /**
     * Creates a client whose requests time out after one heartbeat interval.
     *
     * @param heartbeatIntervalS heartbeat interval in seconds
     */
    public HttpWorkerClient(Loop loop, HttpSender client, double heartbeatIntervalS) {
        this.loop = loop;
        this.client = client;
        // After one interval, the reply to the worker's next heartbeat carries the orders anyway.
        this.timeoutMs = Math.round(heartbeatIntervalS * 1000);
    }

    @Override
    public void sendOrders(
            String address,
            FencingToken token,
            long incarnation,
            List<Order> orders,
            Consumer<Result> done) {
        send(
                address,
                1,
                "POST",
                "/orders",
                Json.write(WorkerProtocol.directMessage(token, incarnation, orders)),
                timeoutMs,
                outcome -> done.accept(toResult(outcome)));
    }

    @Override
    public void forwardOrders(
            String address,
            FencingToken token,
            long incarnation,
            JsonNode orders,
            Consumer<byte[]> response) {
        send(
                address,
                1,
                "POST",
                "/orders",
                Json.write(WorkerProtocol.directMessage(token, incarnation, orders)),
                timeoutMs,
                outcome -> {
                    // The response may be batched with others, so only a valid heartbeat is passed
                    // on.
                    if (outcome instanceof HttpOutcome.Answered answer
                            && isOrderResponse(answer)
                            && WorkerProtocol.parseHeartbeat(answer.json()).isPresent()) {
                        response.accept(answer.body());
                    }
                });
    }

    @Override
    public void probe(String address, Consumer<Optional<Heartbeat>> done) {
        // A probe may use a second connection, since the first may be blocked by orders that an
        // unresponsive machine has not accepted.
        send(
                address,
                2,
                "GET",
                "/status",
                null,
                timeoutMs / 2,
                outcome -> done.accept(probedHeartbeat(outcome)));
    }

    private static Optional<Heartbeat> probedHeartbeat(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answer && answer.status() == STATUS_OK
                ? WorkerProtocol.parseHeartbeat(answer.json())
                : Optional.empty();
    }

    private void send(
            String address,
            int connections,
            String method,
            String path,
            byte[] body,
            long requestTimeoutMs,
            Consumer<HttpOutcome> done) {
        int colon = address.lastIndexOf(':');
        int port;
        try {
            port = Integer.parseInt(address.substring(colon + 1));
        } catch (NumberFormatException e) {
            loop.post(() -> done.accept(new HttpOutcome.NotSent("no address")));
            return;
        }
        client.send(
                new OutboundRequest(
                        address.substring(0, Math.max(colon, 0)),
                        port,
                        connections,
                        method,
                        path,
                        body,
                        requestTimeoutMs),
                outcome -> loop.post(() -> done.accept(outcome)));
    }

    private static Result toResult(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent) {
            return new Result.NotSent();
        }
        if (outcome instanceof HttpOutcome.Answered answer && isOrderResponse(answer)) {
            Optional<Heartbeat> heartbeat = WorkerProtocol.parseHeartbeat(answer.json());
            if (heartbeat.isPresent()) {
                return new Result.Responded(answer.status() == STATUS_OK, heartbeat.get());
            }
        }
        return new Result.NoResponse();
    }

    /** Whether the agent executed or refused the orders; the body then holds its status. */
    private static boolean isOrderResponse(HttpOutcome.Answered answer) {
        return answer.status() == STATUS_OK || answer.status() == STATUS_ORDERS_REFUSED;
    }
}
