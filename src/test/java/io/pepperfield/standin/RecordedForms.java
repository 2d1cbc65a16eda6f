package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The formats of all keys and messages that the recorded version (c7a624d) reads and writes, taken
 * from its sources. Every record and message of a controller of any version must match them.
 */
final class RecordedForms {

    private static final String ROOT = "pepperfield/";
    private static final Set<String> JOB_FIELDS =
            Set.of(
                    "w", "o", "s", "r", "n", "c", "g", "m", "i", "ig", "e", "ce", "cs", "at", "k",
                    "t", "sp", "re");

    /**
     * Optional fields of a job. The recorded version ignores {@code aw}; no job has it while
     * controllers of that version run.
     */
    private static final Set<String> OPTIONAL_JOB_FIELDS = Set.of("f", "z", "d", "aw");

    private static final Set<String> RENTAL_FIELDS = Set.of("t", "p", "z", "n", "at", "a", "h");
    private static final Set<String> TYPE_FIELDS =
            Set.of("n", "c", "g", "m", "d", "f", "p", "s", "b", "z");
    private static final Set<String> RELAY_FIELDS =
            Set.of("node", "life", "seq", "epoch", "beats", "heard", "kept");
    private static final int STATE_LIVE = 1;
    private static final int STATE_FAILED = 3;
    private static final int REPEATED_REPORT_FIELDS = 5;

    private RecordedForms() {}

    /** Whether the recorded version can read a value of a key. */
    static boolean isReadableValue(String key, JsonNode data) {
        if (key.equals(ROOT + "leader")) {
            return isLeader(data);
        } else if (key.equals(ROOT + "types")) {
            return allMatch(
                    data, type -> hasExactly(type, TYPE_FIELDS) && type.path("z").isArray());
        } else if (key.startsWith(ROOT + "job/")) {
            return isJob(data);
        } else if (key.startsWith(ROOT + "end/")) {
            return isFinalState(data);
        } else if (key.startsWith(ROOT + "hire/")) {
            return isRental(data);
        } else if (key.startsWith(ROOT + "runs/")) {
            return key.matches(ROOT + "runs/\\d+-\\d+")
                    && data.isObject()
                    && allMatch(data, RecordedForms::isRunRecord);
        }
        return key.matches(ROOT + "run/run-\\d+/\\d+") && isRunRecord(data);
    }

    private static boolean isLeader(JsonNode data) {
        return hasExactly(data, Set.of("node", "grant"))
                && data.path("node").isTextual()
                && data.path("grant").isIntegralNumber();
    }

    private static boolean isRental(JsonNode data) {
        return hasExactly(data, RENTAL_FIELDS)
                && data.path("n").isIntegralNumber()
                && data.path("at").isIntegralNumber()
                && data.path("a").isBoolean()
                && data.path("h").isArray();
    }

    /**
     * The recorded version reads only {@code s}; {@code at} is the time at which the job was done.
     */
    private static boolean isFinalState(JsonNode data) {
        if (hasExactly(data, Set.of("s", "at"))) {
            return data.path("s").asText().equals("done") && data.path("at").isIntegralNumber();
        }
        return hasExactly(data, Set.of("s"))
                && Set.of("done", "cancelled").contains(data.path("s").asText());
    }

    private static boolean isJob(JsonNode data) {
        if (!data.isObject()) {
            return false;
        }
        Set<String> fields = fieldNames(data);
        if (!fields.containsAll(JOB_FIELDS)) {
            return false;
        }
        fields.removeAll(JOB_FIELDS);
        return OPTIONAL_JOB_FIELDS.containsAll(fields)
                && data.path("s").isIntegralNumber()
                && data.path("r").isIntegralNumber()
                && data.path("n").isIntegralNumber()
                && data.path("at").isIntegralNumber()
                && data.path("k").isIntegralNumber();
    }

    private static boolean isRunRecord(JsonNode entries) {
        return entries.isArray() && allMatch(entries, RecordedForms::isTaskEntry);
    }

    /**
     * An entry holds the task, the attempt and the state, and for an attempt that may be live also
     * the machine and the incarnation of its agent.
     */
    private static boolean isTaskEntry(JsonNode entry) {
        int state = entry.path(2).asInt(-1);
        return entry.path(0).isInt()
                && entry.path(1).isInt()
                && state >= 0
                && state <= STATE_FAILED
                && (state == STATE_LIVE
                        ? entry.size() == 5
                                && entry.path(3).isTextual()
                                && entry.path(4).isIntegralNumber()
                        : entry.size() == 3);
    }

    /** Whether the recorded version can read a message to a controller. */
    static boolean isReadableRequest(String method, String path, JsonNode body) {
        return switch (method + " " + path) {
            case "GET /peer/contact" -> true;
            case "POST /peer/cancelled" ->
                    hasExactly(body, Set.of("jobs")) && body.path("jobs").isArray();
            case "POST /peer/orders" ->
                    hasExactly(body, Set.of("epoch", "messages"))
                            && allMatch(
                                    body.path("messages"),
                                    message ->
                                            hasExactly(
                                                    message, Set.of("addr", "tenure", "orders")));
            case "POST /peer/relay" ->
                    hasExactly(body, RELAY_FIELDS)
                            && allMatch(body.path("beats"), RecordedForms::isHeartbeat)
                            && allMatch(
                                    body.path("kept"),
                                    kept -> hasExactly(kept, Set.of("ageMs", "report")));
            default -> false;
        };
    }

    private static boolean isHeartbeat(JsonNode beat) {
        return beat.isArray() ? beat.size() == REPEATED_REPORT_FIELDS : beat.has("host");
    }

    /** Whether the recorded version can read a controller's response to such a message. */
    static boolean isReadableAnswer(String path, JsonNode body) {
        return switch (path) {
            case "/peer/contact" -> hasExactly(body, Set.of("contactAgoMs", "epoch"));
            case "/peer/relay" ->
                    hasExactly(body, Set.of("epoch", "contactAgoMs", "live", "answers"))
                            && allMatch(body.path("answers"), RecordedForms::isVerdict);
            default -> true;
        };
    }

    private static boolean isVerdict(JsonNode verdict) {
        return verdict.isArray() || Set.of("whole", "refused").contains(verdict.asText());
    }

    private static boolean hasExactly(JsonNode node, Set<String> expectedFields) {
        return node.isObject() && fieldNames(node).equals(expectedFields);
    }

    private static Set<String> fieldNames(JsonNode node) {
        Set<String> names = new HashSet<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static boolean allMatch(JsonNode items, Predicate<JsonNode> predicate) {
        for (JsonNode item : items) {
            if (!predicate.test(item)) {
                return false;
            }
        }
        return items.isContainerNode();
    }
}
