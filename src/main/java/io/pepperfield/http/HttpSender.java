package io.pepperfield.http;

import java.util.function.Consumer;

/** Sends one request to an address; the deadline covers waiting for a connection. */
public interface HttpSender {

    /** At most {@code connections} are open to that address; the callback may run on any thread. */
    void send(
            String host,
            int port,
            int connections,
            String method,
            String path,
            byte[] body,
            long deadlineMs,
            Consumer<HttpOutcome> done);
}
