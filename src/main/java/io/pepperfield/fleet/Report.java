package io.pepperfield.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A worker's report; {@code noticeS} is null unless the cloud is about to take the machine. */
public record Report(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long tenure,
        long serial,
        long token,
        Double noticeS,
        List<Line> lines) {

    public enum State {
        PULLING,
        RUNNING,
        SAVING,
        ENDED
    }

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

    public record Line(TaskRef ref, int attempt, State state, Cause cause) {}

    /** The report that differs from this one only in its serial and token. */
    Report repeatedAs(long newSerial, long newToken) {
        return new Report(
                machine, address, type, zone, spot, tenure, newSerial, newToken, noticeS, lines);
    }

    /** Null where the message is no report: refused whole, since half of one proves nothing. */
    public static Report read(JsonNode n) {
        if (!n.path("host").isTextual()
                || !n.path("addr").isTextual()
                || !n.path("flavour").isTextual()
                || !n.path("site").isTextual()
                || !n.path("reclaimable").isBoolean()
                || !count(n.path("tenure"))
                || !count(n.path("serial"))
                || !count(n.path("epoch"))
                || !n.path("shards").isArray()) {
            return null;
        }
        List<Line> lines = new ArrayList<>();
        for (JsonNode shard : n.path("shards")) {
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
            if (ref == null || !shard.path("status").isTextual() || !count(shard.path("try"))) {
                return null;
            }
            lines.add(
                    new Line(
                            ref,
                            shard.path("try").intValue(),
                            state,
                            cause(shard.path("cause").asText(""))));
        }
        JsonNode notice = n.path("warningS");
        return new Report(
                n.path("host").textValue(),
                n.path("addr").textValue(),
                n.path("flavour").textValue(),
                n.path("site").textValue(),
                n.path("reclaimable").booleanValue(),
                n.path("tenure").longValue(),
                n.path("serial").longValue(),
                n.path("epoch").longValue(),
                notice.isNumber() ? notice.doubleValue() : null,
                lines);
    }

    private static boolean count(JsonNode n) {
        return n.isIntegralNumber() && n.canConvertToLong() && n.longValue() >= 0;
    }

    private static Cause cause(String word) {
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
