package io.pepperfield.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A bound on requests of one kind that wait for their answers. When users ask many times as often,
 * what is beyond it is told at once to come back, and neither fills the owner's queue nor delays
 * reports, submissions and health answers there.
 */
public final class PendingQueryLimit implements HttpServer.Handler {

    private final HttpServer.Handler next;
    private final int maxPending;
    private final String pathPrefix;
    private final AtomicInteger pending = new AtomicInteger();

    /**
     * @param prefix the paths whose GETs are counted
     */
    public PendingQueryLimit(String prefix, int most, HttpServer.Handler next) {
        this.pathPrefix = prefix;
        this.maxPending = most;
        this.next = next;
    }

    @Override
    public void handle(InboundRequest call, Consumer<HttpReply> answer) {
        if (!call.method().equals("GET") || !call.path().startsWith(pathPrefix)) {
            next.handle(call, answer);
        } else if (pending.incrementAndGet() > maxPending) {
            pending.decrementAndGet();
            answer.accept(HttpReply.unavailable("too many questions at once"));
        } else {
            next.handle(
                    call,
                    reply -> {
                        pending.decrementAndGet();
                        answer.accept(reply);
                    });
        }
    }
}
