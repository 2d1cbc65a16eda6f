package io.pepperfield.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A bound on requests of one kind that wait for their answers. When users ask many times as often,
 * what is beyond it is told at once to come back, and neither fills the event loop's queue nor
 * delays heartbeats, submissions and health answers there.
 */
public final class PendingQueryLimit implements HttpServer.Handler {

    private final HttpServer.Handler next;
    private final int maxPending;
    private final String pathPrefix;
    private final AtomicInteger pending = new AtomicInteger();

    /**
     * Creates a limit before the handler {@code next}; may be called on any thread.
     *
     * @param pathPrefix of the paths whose GETs are counted
     * @param maxPending of them at once
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
