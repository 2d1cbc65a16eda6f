package io.pepperfield.fleet;

import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Sender;
import io.pepperfield.node.Loop;

import java.util.List;
import java.util.function.Consumer;

/** Direct orders over the workers' published protocol. */
public final class HttpWorkers implements Workers {

    private final Loop loop;
    private final Sender client;
    private final long deadlineMs;

    public HttpWorkers(Loop loop, Sender client, double reportS) {
        this.loop = loop;
        this.client = client;
        // A worker that has not answered by then is asked through its next report anyway.
        this.deadlineMs = Math.round(reportS * 1000);
    }

    @Override public void orders(String address, long token, long tenure, List<Order> orders, Consumer<Result> done) {
        int colon = address.lastIndexOf(':');
        int port;
        try {
            port = Integer.parseInt(address.substring(colon + 1));
        } catch (NumberFormatException e) {
            loop.post(() -> done.accept(new Result.NotSent()));
            return;
        }
        client.send(address.substring(0, Math.max(colon, 0)), port, 1, "POST", "/orders",
                Json.write(Order.message(token, tenure, orders)), deadlineMs, outcome -> {
                    Result result = result(outcome);
                    loop.post(() -> done.accept(result));
                });
    }

    private static Result result(Outcome outcome) {
        if (outcome instanceof Outcome.NotSent) {
            return new Result.NotSent();
        }
        if (outcome instanceof Outcome.Answered answer && (answer.status() == 200 || answer.status() == 409)) {
            Report report = Report.read(answer.json());
            if (report != null) {
                return new Result.Heard(answer.status() == 200, report);
            }
        }
        return new Result.NoAnswer();
    }
}
