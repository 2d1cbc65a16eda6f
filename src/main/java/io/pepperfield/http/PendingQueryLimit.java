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
    private final int most;
    private final String prefix;
    private final AtomicInteger waiting = new AtomicInteger();

    /**
     * @param prefix the paths whose GETs are counted
     */
    public PendingQueryLimit(String prefix, int most, HttpServer.Handler next) {
        this.prefix = prefix;
        this.most = most;
        this.next = next;
    }

    @Override
    public void handle(Call call, Consumer<Reply> answer) {
        if (!call.method().equals("GET") || !call.path().startsWith(prefix)) {
            next.handle(call, answer);
        } else if (waiting.incrementAndGet() > most) {
            waiting.decrementAndGet();
            answer.accept(Reply.later("too many questions at once"));
        } else {
            next.handle(
                    call,
                    reply -> {
                        waiting.decrementAndGet();
                        answer.accept(reply);
                    });
        }
    }
}
