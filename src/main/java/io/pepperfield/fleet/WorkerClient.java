package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Direct messages to the workers' agents; callbacks run on the event loop. */
public interface WorkerClient {

    /** How a direct message to a worker ended. */
    sealed interface Result {
        /**
         * The agent's status after the orders.
         *
         * @param executed false where the agent has refused all of them
         */
        record Responded(boolean executed, Heartbeat heartbeat) implements Result {}

        /** The message never left: its orders are not carried out. */
        record NotSent() implements Result {}

        /** The orders may be carried out at any later time. */
        record NoResponse() implements Result {}
    }

    /** Asks the agent for its status without ordering anything; empty where no answer comes. */
    void probe(String address, Consumer<Optional<Heartbeat>> done);

    /**
     * Passes on orders that are encoded already.
     *
     * @param response gets the agent's status as received, if it is a valid heartbeat
     */
    void forwardOrders(
            String address,
            FencingToken token,
            long incarnation,
            JsonNode orders,
            Consumer<byte[]> response);

    /** Sends orders outside the replies to heartbeats; {@code done} is called once. */
    void sendOrders(
            String address,
            FencingToken token,
            long incarnation,
            List<Order> orders,
            Consumer<Result> done);
}
