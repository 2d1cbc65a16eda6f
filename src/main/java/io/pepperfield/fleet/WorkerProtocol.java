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
 * The messages between controllers and the workers' agents: maps the protocol's field names to the
 * types of this package and back. No other class spells a field name of this protocol.
 *
 * <p>Stateless, for any thread.
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
     * Decodes a heartbeat. One that is incomplete is refused whole, since a part of the attempts
     * proves nothing about the others.
     *
     * @return the heartbeat, or empty where a required field is missing or has another type
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

    private static Heartbeat.State parseState(String word) {
        return switch (word) {
            case "pulling" -> Heartbeat.State.PULLING;
            case "running" -> Heartbeat.State.RUNNING;
            case "saving" -> Heartbeat.State.SAVING;
            case "ended" -> Heartbeat.State.ENDED;
            // A state of a later version, or one such as waiting for the rest of its gang: alive,
            // and not counted as running.
            default -> Heartbeat.State.PULLING;
        };
    }

    private static Heartbeat.Cause parseCause(String word) {
        return switch (word) {
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

    /** The body of the reply to a heartbeat: the leader's fencing token and its orders. */
    public static ObjectNode heartbeatReply(FencingToken token, List<Order> orders) {
        return heartbeatReply(token, encodeOrders(orders));
    }

    /** The same with orders that are encoded already. */
    public static ObjectNode heartbeatReply(FencingToken token, JsonNode encodedOrders) {
        ObjectNode body = Json.object().put(FENCING_TOKEN, token.value());
        body.set(ORDERS, encodedOrders);
        return body;
    }

    /** The body of a reply that sends the agent to another controller. */
    public static ObjectNode redirect(String controller) {
        return Json.object().put(CONTROLLER, controller);
    }

    /** The body of a direct message, which holds for one incarnation of the agent only. */
    public static ObjectNode directMessage(
            FencingToken token, long incarnation, List<Order> orders) {
        return heartbeatReply(token, orders).put(INCARNATION, incarnation);
    }

    /** The same with orders that are encoded already. */
    static ObjectNode directMessage(FencingToken token, long incarnation, JsonNode encodedOrders) {
        ObjectNode body =
                Json.object().put(FENCING_TOKEN, token.value()).put(INCARNATION, incarnation);
        body.set(ORDERS, encodedOrders);
        return body;
    }

    /** The orders as they stand in a message. */
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

    /** Whether one of the encoded orders stops an attempt. */
    public static boolean containsStop(JsonNode encodedOrders) {
        for (JsonNode order : encodedOrders) {
            if (order.path(VERB).asText().equals(VERB_STOP)) {
                return true;
            }
        }
        return false;
    }
}
