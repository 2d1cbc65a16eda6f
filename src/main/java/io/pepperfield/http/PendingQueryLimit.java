package io.pepperfield.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Limits the pending GET requests under a path prefix. During a query spike, requests above the
 * limit are refused immediately with a retry delay, so that they neither fill the event loop's
 * queue nor delay heartbeats, submissions and health checks.
 */
public final class PendingQueryLimit implements HttpServer.Handler {

    private final HttpServer.Handler next;
    private final int maxPending;
    private final String pathPrefix;
    private final AtomicInteger pending = new AtomicInteger();

    /**
     * Creates a limit in front of the handler {@code next}. Requests may arrive on any thread.
     *
     * @param pathPrefix prefix of the paths whose GET requests are counted
     * @param maxPending limit on concurrent pending requests
     */
    public PendingQueryLimit(String pathPrefix, int maxPending, HttpServer.Handler next) {
        this.pathPrefix = pathPrefix;
        this.maxPending = maxPending;
        this.next = next;
    }

    @Override
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        if (!request.method().equals("GET") || !request.path().startsWith(pathPrefix)) {
            next.handle(request, answer);
        } else if (pending.incrementAndGet() > maxPending) {
            pending.decrementAndGet();
            answer.accept(HttpReply.unavailable("too many questions at once"));
        } else {
            next.handle(
                    request,
                    reply -> {
                        pending.decrementAndGet();
                        answer.accept(reply);
                    });
        }
    }
}
