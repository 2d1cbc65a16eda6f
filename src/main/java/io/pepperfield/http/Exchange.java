package io.pepperfield.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/**
 * One request of the client until its outcome is known; completed exactly once. Confined to the
 * client's event loop.
 */
final class Exchange {

    private final OutboundRequest request;
    private final Consumer<HttpOutcome> onOutcome;
    private ScheduledFuture<?> deadlineTimer;
    private ClientConnection connection;
    private boolean completed;

    Exchange(OutboundRequest request, Consumer<HttpOutcome> onOutcome) {
        this.request = request;
        this.onOutcome = onOutcome;
    }

    OutboundRequest request() {
        return request;
    }

    boolean isCompleted() {
        return completed;
    }

    /** The timer of its deadline, which covers waiting for a connection. */
    void setDeadlineTimer(ScheduledFuture<?> scheduled) {
        deadlineTimer = scheduled;
    }

    /** From here on the other side may act on it. */
    void assignConnection(ClientConnection carrier) {
        connection = carrier;
    }

    void complete(HttpOutcome outcome) {
        if (!completed) {
            completed = true;
            deadlineTimer.cancel(false);
            onOutcome.accept(outcome);
        }
    }

    void fail(String reason) {
        boolean sent = connection != null;
        complete(sent ? new HttpOutcome.NoAnswer(reason) : new HttpOutcome.NotSent(reason));
    }

    /** The deadline has passed: a late answer must not be taken for the next one's. */
    void expire() {
        fail("deadline");
        if (connection != null) {
            connection.close();
        }
    }
}
