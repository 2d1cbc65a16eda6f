package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.function.Consumer;

/** The direct way to the workers; callbacks run on the event loop. */
public interface WorkerClient {

    /** How a direct message to a worker ended. */
    sealed interface Result {
        /**
         * The worker's report after the orders; {@code executed} false where it refused all of
         * them.
         */
        record Responded(boolean executed, Heartbeat heartbeat) implements Result {}

        /** The message never left: its orders are not carried out. */
        record NotSent() implements Result {}

        /** The orders may be carried out at any later time. */
        record NoResponse() implements Result {}
    }

    /** Asks for the worker's report without ordering anything; null where none comes. */
    void probe(String address, Consumer<Heartbeat> done);

    /** Hands on orders as they are; {@code heard} gets the worker's report, if one comes. */
    void forwardOrders(
            String address,
            FencingToken token,
            long tenure,
            JsonNode orders,
            Consumer<byte[]> heard);

    /** Sends orders to a worker outside its reports; {@code done} is called once. */
    void sendOrders(
            String address,
            FencingToken token,
            long tenure,
            List<Order> orders,
            Consumer<Result> done);
}
