package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Sender;
import io.pepperfield.loop.Loop;
import java.util.List;
import java.util.function.Consumer;

/** Direct orders over the workers' published protocol. */
public final class HttpWorkers implements Workers {

    private final Loop loop;
    private final Sender client;
    private final long deadlineMs;

    /**
     * Creates a client whose requests fail after one report interval of {@code reportS} seconds.
     */
    public HttpWorkers(Loop loop, Sender client, double reportS) {
        this.loop = loop;
        this.client = client;
        // A worker that has not answered by then is asked through its next report anyway.
        this.deadlineMs = Math.round(reportS * 1000);
    }

    @Override
    public void orders(
            String address, long token, long tenure, List<Order> orders, Consumer<Result> done) {
        send(
                address,
                1,
                "POST",
                "/orders",
                Json.write(Order.message(token, tenure, orders)),
                deadlineMs,
                outcome -> done.accept(result(outcome)));
    }

    @Override
    public void forward(
            String address, long token, long tenure, JsonNode orders, Consumer<byte[]> heard) {
        ObjectNode body = Json.object().put("epoch", token).put("tenure", tenure);
        body.set("orders", orders);
        send(
                address,
                1,
                "POST",
                "/orders",
                Json.write(body),
                deadlineMs,
                outcome -> {
                    // What is no report must not get into a message with others'.
                    if (outcome instanceof Outcome.Answered answer
                            && (answer.status() == 200 || answer.status() == 409)
                            && Report.read(answer.json()) != null) {
                        heard.accept(answer.body());
                    }
                });
    }

    @Override
    public void probe(String address, Consumer<Report> done) {
        // On a second connection: the first may be waiting for orders that a hanging machine has
        // not taken up.
        send(
                address,
                2,
                "GET",
                "/status",
                null,
                deadlineMs / 2,
                outcome ->
                        done.accept(
                                outcome instanceof Outcome.Answered answer && answer.status() == 200
                                        ? Report.read(answer.json())
                                        : null));
    }

    private void send(
            String address,
            int connections,
            String method,
            String path,
            byte[] body,
            long withinMs,
            Consumer<Outcome> done) {
        int colon = address.lastIndexOf(':');
        int port;
        try {
            port = Integer.parseInt(address.substring(colon + 1));
        } catch (NumberFormatException e) {
            loop.post(() -> done.accept(new Outcome.NotSent("no address")));
            return;
        }
        client.send(
                address.substring(0, Math.max(colon, 0)),
                port,
                connections,
                method,
                path,
                body,
                withinMs,
                outcome -> loop.post(() -> done.accept(outcome)));
    }

    private static Result result(Outcome outcome) {
        if (outcome instanceof Outcome.NotSent) {
            return new Result.NotSent();
        }
        if (outcome instanceof Outcome.Answered answer
                && (answer.status() == 200 || answer.status() == 409)) {
            Report report = Report.read(answer.json());
            if (report != null) {
                return new Result.Heard(answer.status() == 200, report);
            }
        }
        return new Result.NoAnswer();
    }
}
