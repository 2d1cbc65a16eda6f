package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import java.util.ArrayList;
import java.util.List;

/** A worker's report; {@code noticeS} is null unless the cloud is about to take the machine. */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        FencingToken fencingToken,
        Double reclaimNoticeS,
        List<AttemptStatus> attempts) {

    /** The state of an attempt on its worker. */
    public enum State {
        PULLING,
        RUNNING,
        SAVING,
        ENDED
    }

    /** Why an attempt has ended; {@code NONE} while it has not. */
    public enum Cause {
        NONE,
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        NO_SUCH,
        OTHER
    }

    /** What a report says about one attempt. */
    public record AttemptStatus(TaskRef taskRef, int attemptNumber, State state, Cause cause) {}

    /** The report that differs from this one only in its serial and token. */
    Heartbeat withSequenceAndToken(long newSerial, FencingToken newToken) {
        return new Heartbeat(
                machine,
                address,
                type,
                zone,
                spot,
                incarnation,
                newSerial,
                newToken,
                reclaimNoticeS,
                attempts);
    }

    /** Null where the message is no report: refused whole, since half of one proves nothing. */
    public static Heartbeat parse(JsonNode message) {
        if (!message.path("host").isTextual()
                || !message.path("addr").isTextual()
                || !message.path("flavour").isTextual()
                || !message.path("site").isTextual()
                || !message.path("reclaimable").isBoolean()
                || !isCount(message.path("tenure"))
                || !isCount(message.path("serial"))
                || !isCount(message.path("epoch"))
                || !message.path("shards").isArray()) {
            return null;
        }
        List<AttemptStatus> lines = new ArrayList<>();
        for (JsonNode shard : message.path("shards")) {
            TaskRef ref = TaskRef.parse(shard.path("shard").asText());
            State state =
                    switch (shard.path("status").asText()) {
                        case "pulling" -> State.PULLING;
                        case "running" -> State.RUNNING;
                        case "saving" -> State.SAVING;
                        case "ended" -> State.ENDED;
                        // A state of a later version, or one such as waiting for mates: alive, and
                        // not counted as running.
                        default -> State.PULLING;
                    };
            if (ref == null || !shard.path("status").isTextual() || !isCount(shard.path("try"))) {
                return null;
            }
            lines.add(
                    new AttemptStatus(
                            ref,
                            shard.path("try").intValue(),
                            state,
                            parseCause(shard.path("cause").asText(""))));
        }
        JsonNode notice = message.path("warningS");
        return new Heartbeat(
                message.path("host").textValue(),
                message.path("addr").textValue(),
                message.path("flavour").textValue(),
                message.path("site").textValue(),
                message.path("reclaimable").booleanValue(),
                message.path("tenure").longValue(),
                message.path("serial").longValue(),
                new FencingToken(message.path("epoch").longValue()),
                notice.isNumber() ? notice.doubleValue() : null,
                lines);
    }

    private static boolean isCount(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0;
    }

    private static Cause parseCause(String word) {
        return switch (word) {
            case "" -> Cause.NONE;
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "error" -> Cause.ERROR;
            case "no_room" -> Cause.NO_ROOM;
            case "busy" -> Cause.BUSY;
            case "no_such" -> Cause.NO_SUCH;
            default -> Cause.OTHER;
        };
    }
}
