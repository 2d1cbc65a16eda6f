package io.pepperfield.forms;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.OutboundRequest;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Adds each request to a golden file, and answers it with what the test has set. */
public final class RecordingSender implements HttpSender {

    private final GoldenFile file;
    private HttpOutcome answer = new HttpOutcome.NoAnswer("");

    /** Creates a sender that answers nothing yet. */
    public RecordingSender(GoldenFile file) {
        this.file = file;
    }

    /** Sets the answer to all requests from now on. */
    public RecordingSender respondWith(int status, byte[] body) {
        answer = new HttpOutcome.Answered(status, body);
        return this;
    }

    /** Sets an answer with this text as its body. */
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
        onOutcome.accept(answer);
    }
}
