package io.pepperfield.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/**
 * A client request and its outcome, which is reported exactly once. Confined to the client's event
 * loop.
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

    /** Sets the deadline timer, which also covers the time spent waiting for a connection. */
    void setDeadlineTimer(ScheduledFuture<?> scheduled) {
        deadlineTimer = scheduled;
    }

    /** Marks the request as sent: from now on the remote side may act on it. */
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

    /**
     * Fails the request when its deadline has passed, and closes the connection so that a late
     * response cannot be matched to the next request.
     */
    void expire() {
        fail("deadline");
        if (connection != null) {
            connection.close();
        }
    }
}
