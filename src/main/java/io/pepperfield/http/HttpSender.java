package io.pepperfield.http;

import java.util.function.Consumer;

/** Sends HTTP requests. */
public interface HttpSender {

    /**
     * Sends a request once, without retries.
     *
     * @param onOutcome called exactly once, on any thread
     */
    void send(OutboundRequest request, Consumer<HttpOutcome> onOutcome);
}
