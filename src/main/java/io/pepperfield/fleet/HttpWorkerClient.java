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
 * Direct messages to the workers' agents over their published HTTP protocol. Used on the event loop
 * thread, on which the callbacks run too.
 */
public final class HttpWorkerClient implements WorkerClient {

    private static final int STATUS_OK = 200;

    /** The agent has seen a newer token, or runs in another incarnation. */
    private static final int STATUS_ORDERS_REFUSED = 409;

    private final Loop loop;
    private final HttpSender client;
    private final long timeoutMs;

    /**
     * Creates a client whose requests time out after one heartbeat interval.
     *
     * @param heartbeatIntervalS that interval in seconds
     */
    public HttpWorkerClient(Loop loop, HttpSender client, double heartbeatIntervalS) {
        this.loop = loop;
        this.client = client;
        // A worker that has not answered by then is sent the orders in reply to its next heartbeat
        // anyway.
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
                    // What is no heartbeat must not get into a message together with others.
                    if (outcome instanceof HttpOutcome.Answered answer
                            && answersOrders(answer)
                            && WorkerProtocol.parseHeartbeat(answer.json()).isPresent()) {
                        response.accept(answer.body());
                    }
                });
    }

    @Override
    public void probe(String address, Consumer<Optional<Heartbeat>> done) {
        // On a second connection: the first may be waiting for orders that a hanging machine has
        // not taken up.
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
            long withinMs,
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
                        withinMs),
                outcome -> loop.post(() -> done.accept(outcome)));
    }

    private static Result toResult(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent) {
            return new Result.NotSent();
        }
        if (outcome instanceof HttpOutcome.Answered answer && answersOrders(answer)) {
            Optional<Heartbeat> heartbeat = WorkerProtocol.parseHeartbeat(answer.json());
            if (heartbeat.isPresent()) {
                return new Result.Responded(answer.status() == STATUS_OK, heartbeat.get());
            }
        }
        return new Result.NoResponse();
    }

    /** Whether the agent has carried the orders out or refused them, and says what it holds. */
    private static boolean answersOrders(HttpOutcome.Answered answer) {
        return answer.status() == STATUS_OK || answer.status() == STATUS_ORDERS_REFUSED;
    }
}
