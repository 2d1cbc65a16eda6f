package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import java.util.List;
import java.util.function.Consumer;

/** Direct orders over the workers' published protocol. */
public final class HttpWorkerClient implements WorkerClient {

    private final Loop loop;
    private final HttpSender client;
    private final long timeoutMs;

    /**
     * Creates a client whose requests fail after one report interval of {@code reportS} seconds.
     */
    public HttpWorkerClient(Loop loop, HttpSender client, double reportS) {
        this.loop = loop;
        this.client = client;
        // A worker that has not answered by then is asked through its next report anyway.
        this.timeoutMs = Math.round(reportS * 1000);
    }

    @Override
    public void sendOrders(
            String address,
            FencingToken token,
            long tenure,
            List<Order> orders,
            Consumer<Result> done) {
        send(
                address,
                1,
                "POST",
                "/orders",
                Json.write(Order.directMessageBody(token, tenure, orders)),
                timeoutMs,
                outcome -> done.accept(toResult(outcome)));
    }

    @Override
    public void forwardOrders(
            String address,
            FencingToken token,
            long tenure,
            JsonNode orders,
            Consumer<byte[]> heard) {
        ObjectNode body = Json.object().put("epoch", token.value()).put("tenure", tenure);
        body.set("orders", orders);
        send(
                address,
                1,
                "POST",
                "/orders",
                Json.write(body),
                timeoutMs,
                outcome -> {
                    // What is no report must not get into a message with others'.
                    if (outcome instanceof HttpOutcome.Answered answer
                            && (answer.status() == 200 || answer.status() == 409)
                            && Heartbeat.parse(answer.json()) != null) {
                        heard.accept(answer.body());
                    }
                });
    }

    @Override
    public void probe(String address, Consumer<Heartbeat> done) {
        // On a second connection: the first may be waiting for orders that a hanging machine has
        // not taken up.
        send(
                address,
                2,
                "GET",
                "/status",
                null,
                timeoutMs / 2,
                outcome ->
                        done.accept(
                                outcome instanceof HttpOutcome.Answered answer
                                                && answer.status() == 200
                                        ? Heartbeat.parse(answer.json())
                                        : null));
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
        if (outcome instanceof HttpOutcome.Answered answer
                && (answer.status() == 200 || answer.status() == 409)) {
            Heartbeat report = Heartbeat.parse(answer.json());
            if (report != null) {
                return new Result.Responded(answer.status() == 200, report);
            }
        }
        return new Result.NoResponse();
    }
}
