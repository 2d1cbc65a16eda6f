package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes the messages between controllers and the workers' agents. All field names of
 * the protocol are defined in this class only.
 *
 * <p>Stateless and thread-safe.
 */
public final class WorkerProtocol {

    private static final String MACHINE = "host";
    private static final String ADDRESS = "addr";
    private static final String MACHINE_TYPE = "flavour";
    private static final String ZONE = "site";
    private static final String SPOT = "reclaimable";
    private static final String INCARNATION = "tenure";
    private static final String SEQUENCE = "serial";
    private static final String FENCING_TOKEN = "epoch";
    private static final String RECLAIM_NOTICE_S = "warningS";
    private static final String ATTEMPTS = "shards";
    private static final String TASK = "shard";
    private static final String ATTEMPT_NUMBER = "try";
    private static final String STATE = "status";
    private static final String CAUSE = "cause";
    private static final String ORDERS = "orders";
    private static final String VERB = "verb";
    private static final String VERB_RUN = "run";
    private static final String VERB_STOP = "stop";
    private static final String VERB_CLEAR = "clear";
    private static final String GRACE_PERIOD_S = "drainS";
    private static final String CONTROLLER = "manager";

    private WorkerProtocol() {}

    /**
     * Decodes a heartbeat. An incomplete heartbeat is rejected as a whole, since a partial list of
     * attempts does not show which other attempts have ended.
     *
     * @return the heartbeat, or empty if a required field is missing or has the wrong type
     */
    public static Optional<Heartbeat> parseHeartbeat(JsonNode message) {
        if (!hasIdentity(message) || !hasPosition(message) || !message.path(ATTEMPTS).isArray()) {
            return Optional.empty();
        }
        List<Heartbeat.AttemptStatus> attempts = new ArrayList<>();
        for (JsonNode entry : message.path(ATTEMPTS)) {
            Optional<TaskRef> taskRef = TaskRef.parse(entry.path(TASK).asText());
            if (taskRef.isEmpty()
                    || !entry.path(STATE).isTextual()
                    || !isCount(entry.path(ATTEMPT_NUMBER))) {
                return Optional.empty();
            }
            attempts.add(parseAttempt(taskRef.get(), entry));
        }
        JsonNode notice = message.path(RECLAIM_NOTICE_S);
        return Optional.of(
                new Heartbeat(
                        message.path(MACHINE).textValue(),
                        message.path(ADDRESS).textValue(),
                        message.path(MACHINE_TYPE).textValue(),
                        message.path(ZONE).textValue(),
                        message.path(SPOT).booleanValue(),
                        message.path(INCARNATION).longValue(),
                        message.path(SEQUENCE).longValue(),
                        new FencingToken(message.path(FENCING_TOKEN).longValue()),
                        notice.isNumber() ? notice.doubleValue() : null,
                        attempts));
    }

    private static boolean hasIdentity(JsonNode message) {
        return message.path(MACHINE).isTextual()
                && message.path(ADDRESS).isTextual()
                && message.path(MACHINE_TYPE).isTextual()
                && message.path(ZONE).isTextual()
                && message.path(SPOT).isBoolean();
    }

    private static boolean hasPosition(JsonNode message) {
        return isCount(message.path(INCARNATION))
                && isCount(message.path(SEQUENCE))
                && isCount(message.path(FENCING_TOKEN));
    }

    private static boolean isCount(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0;
    }

    private static Heartbeat.AttemptStatus parseAttempt(TaskRef taskRef, JsonNode entry) {
        return new Heartbeat.AttemptStatus(
                taskRef,
                entry.path(ATTEMPT_NUMBER).intValue(),
                parseState(entry.path(STATE).textValue()),
                parseCause(entry.path(CAUSE).asText("")));
    }

    private static Heartbeat.State parseState(String text) {
        return switch (text) {
            case "pulling" -> Heartbeat.State.PULLING;
            case "running" -> Heartbeat.State.RUNNING;
            case "saving" -> Heartbeat.State.SAVING;
            case "ended" -> Heartbeat.State.ENDED;
            // Unknown states, such as those of later versions or waiting for the rest of a gang,
            // are treated as live but not running.
            default -> Heartbeat.State.PULLING;
        };
    }

    private static Heartbeat.Cause parseCause(String text) {
        return switch (text) {
            case "" -> Heartbeat.Cause.NONE;
            case "done" -> Heartbeat.Cause.DONE;
            case "stopped" -> Heartbeat.Cause.STOPPED;
            case "error" -> Heartbeat.Cause.ERROR;
            case "no_room" -> Heartbeat.Cause.NO_ROOM;
            case "busy" -> Heartbeat.Cause.BUSY;
            case "no_such" -> Heartbeat.Cause.NO_SUCH;
            default -> Heartbeat.Cause.OTHER;
        };
    }

    /** Encodes the reply to a heartbeat: the leader's fencing token and its orders. */
    public static ObjectNode heartbeatReply(FencingToken token, List<Order> orders) {
        return heartbeatReply(token, encodeOrders(orders));
    }

    /** Encodes the reply to a heartbeat with orders that are already encoded. */
    public static ObjectNode heartbeatReply(FencingToken token, JsonNode encodedOrders) {
        ObjectNode body = Json.object().put(FENCING_TOKEN, token.value());
        body.set(ORDERS, encodedOrders);
        return body;
    }

    /** Encodes a reply that redirects the agent to another controller. */
    public static ObjectNode redirect(String controller) {
        return Json.object().put(CONTROLLER, controller);
    }

    /** Encodes a direct message, which is valid for one incarnation of the agent only. */
    public static ObjectNode directMessage(
            FencingToken token, long incarnation, List<Order> orders) {
        return heartbeatReply(token, orders).put(INCARNATION, incarnation);
    }

    /** Encodes a direct message with orders that are already encoded. */
    static ObjectNode directMessage(FencingToken token, long incarnation, JsonNode encodedOrders) {
        ObjectNode body =
                Json.object().put(FENCING_TOKEN, token.value()).put(INCARNATION, incarnation);
        body.set(ORDERS, encodedOrders);
        return body;
    }

    /** Encodes the orders of a message. */
    public static ArrayNode encodeOrders(List<Order> orders) {
        ArrayNode encoded = Json.array();
        for (Order order : orders) {
            ObjectNode node =
                    encoded.addObject()
                            .put(VERB, verb(order))
                            .put(TASK, order.taskRef().toString())
                            .put(ATTEMPT_NUMBER, order.attemptNumber());
            if (order instanceof Order.Stop stop) {
                node.put(GRACE_PERIOD_S, stop.gracePeriodS());
            }
        }
        return encoded;
    }

    private static String verb(Order order) {
        if (order instanceof Order.Run) {
            return VERB_RUN;
        }
        return order instanceof Order.Stop ? VERB_STOP : VERB_CLEAR;
    }

    /** Whether the encoded orders contain a stop order. */
    public static boolean containsStop(JsonNode encodedOrders) {
        for (JsonNode order : encodedOrders) {
            if (order.path(VERB).asText().equals(VERB_STOP)) {
                return true;
            }
        }
        return false;
    }
}
