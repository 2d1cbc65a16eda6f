package io.pepperfield.forms;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.OutboundRequest;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Adds each request to a golden file and completes it with the configured outcome. */
public final class RecordingSender implements HttpSender {

    private final GoldenFile file;
    private HttpOutcome outcome = new HttpOutcome.NoAnswer("");

    /** Creates a sender whose requests fail without a reply until one is set. */
    public RecordingSender(GoldenFile file) {
        this.file = file;
    }

    /** Sets the reply to all subsequent requests. */
    public RecordingSender respondWith(int status, byte[] body) {
        outcome = new HttpOutcome.Answered(status, body);
        return this;
    }

    /** Sets the reply to all subsequent requests, with a text as its body. */
    public RecordingSender respondWith(int status, String body) {
        return respondWith(status, body.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void send(OutboundRequest request, Consumer<HttpOutcome> onOutcome) {
        byte[] body = request.body();
        String content = body == null ? "no body" : new String(body, StandardCharsets.UTF_8);
        file.add(
                "request",
                request.method()
                        + " "
                        + request.host()
                        + ":"
                        + request.port()
                        + request.path()
                        + " "
                        + content
                        + ", "
                        + request.deadlineMs()
                        + " ms, connections "
                        + request.maxConnections());
        onOutcome.accept(outcome);
    }
}
