package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends direct messages to the workers' agents; callbacks run on the event loop. */
public interface WorkerClient {

    /** The result of a direct message to a worker. */
    sealed interface Result {
        /**
         * The agent has answered with its status after processing the orders.
         *
         * @param executed false if the agent refused all orders
         */
        record Responded(boolean executed, Heartbeat heartbeat) implements Result {}

        /** The message was not sent, so its orders will not be executed. */
        record NotSent() implements Result {}

        /** No response was received. The orders may be executed at any later time. */
        record NoResponse() implements Result {}
    }

    /** Requests the agent's status without sending orders; empty if there is no valid response. */
    void probe(String address, Consumer<Optional<Heartbeat>> done);

    /**
     * Forwards orders that are already encoded.
     *
     * @param response called with the body of the agent's response if it is a valid heartbeat
     */
    void forwardOrders(
            String address,
            FencingToken token,
            long incarnation,
            JsonNode orders,
            Consumer<byte[]> response);

    /** Sends orders as a direct message; {@code done} is called exactly once. */
    void sendOrders(
            String address,
            FencingToken token,
            long incarnation,
            List<Order> orders,
            Consumer<Result> done);
}
