package io.pepperfield.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/** One request of the client until its outcome is known; finished exactly once. */
final class Exchange {

    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<HttpOutcome> onOutcome;
    private ScheduledFuture<?> deadlineTimer;
    private ClientConnection connection;
    private boolean completed;

    Exchange(String method, String path, byte[] body, Consumer<HttpOutcome> done) {
        this.method = method;
        this.path = path;
        this.body = body;
        this.onOutcome = done;
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    /** Null for a request without a body. */
    byte[] body() {
        return body;
    }

    boolean completed() {
        return completed;
    }

    /** The timer of its deadline, which covers waiting for a connection. */
    void deadlineTimer(ScheduledFuture<?> scheduled) {
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

    void fail(String why) {
        boolean sent = connection != null;
        complete(sent ? new HttpOutcome.NoAnswer(why) : new HttpOutcome.NotSent(why));
    }

    /** The deadline has passed: a late answer must not be taken for the next one's. */
    void expire() {
        fail("deadline");
        if (connection != null) {
            connection.close();
        }
    }
}
