package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import java.util.List;

/** A command to a worker about one attempt. */
public sealed interface Order {

    /** The task that the order is about. */
    TaskRef taskRef();

    /** The number of the attempt that the order is about. */
    int attemptNumber();

    /** Starts an attempt. */
    record Run(TaskRef taskRef, int attemptNumber) implements Order {}

    /** Stops an attempt, whose process has {@code drainS} seconds to end by itself. */
    record Stop(TaskRef taskRef, int attemptNumber, double gracePeriodS) implements Order {}

    /** Lets the worker forget an attempt that has ended. */
    record Clear(TaskRef taskRef, int attemptNumber) implements Order {}

    /** Whether among the orders of an answer is one to stop something. */
    static boolean containsStop(JsonNode orders) {
        for (JsonNode order : orders) {
            if (order.path("verb").asText().equals("stop")) {
                return true;
            }
        }
        return false;
    }

    /** The body of an answer to a report. */
    public static ObjectNode replyBody(FencingToken token, List<Order> orders) {
        ObjectNode body = Json.object().put("epoch", token.value());
        ArrayNode all = body.putArray("orders");
        for (Order order : orders) {
            ObjectNode node = all.addObject();
            node.put(
                    "verb",
                    order instanceof Run ? "run" : order instanceof Stop ? "stop" : "clear");
            node.put("shard", order.taskRef().toString()).put("try", order.attemptNumber());
            if (order instanceof Stop stop) {
                node.put("drainS", stop.gracePeriodS());
            }
        }
        return body;
    }

    /** The body of a direct message, which holds for one session of the worker only. */
    public static JsonNode directMessageBody(FencingToken token, long tenure, List<Order> orders) {
        return replyBody(token, orders).put("tenure", tenure);
    }
}
