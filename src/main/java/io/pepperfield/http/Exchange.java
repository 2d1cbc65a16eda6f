package io.pepperfield.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/** One request of the client until its outcome is known; finished exactly once. */
final class Exchange {

    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Outcome> done;
    private ScheduledFuture<?> timer;
    private Connection connection;
    private boolean finished;

    Exchange(String method, String path, byte[] body, Consumer<Outcome> done) {
        this.method = method;
        this.path = path;
        this.body = body;
        this.done = done;
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

    boolean finished() {
        return finished;
    }

    /** The timer of its deadline, which covers waiting for a connection. */
    void timer(ScheduledFuture<?> scheduled) {
        timer = scheduled;
    }

    /** From here on the other side may act on it. */
    void sentOver(Connection carrier) {
        connection = carrier;
    }

    void finish(Outcome outcome) {
        if (!finished) {
            finished = true;
            timer.cancel(false);
            done.accept(outcome);
        }
    }

    void fail(String why) {
        boolean sent = connection != null;
        finish(sent ? new Outcome.NoAnswer(why) : new Outcome.NotSent(why));
    }

    /** The deadline has passed: a late answer must not be taken for the next one's. */
    void expire() {
        fail("deadline");
        if (connection != null) {
            connection.close();
        }
    }
}
