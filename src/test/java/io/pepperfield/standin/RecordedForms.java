package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The forms of all keys and messages that the recorded version (c7a624d) reads and writes, taken
 * from its sources. What a controller of any version writes or says must have them.
 */
final class RecordedForms {

    private static final String ROOT = "pepperfield/";
    private static final Set<String> JOB =
            Set.of(
                    "w", "o", "s", "r", "n", "c", "g", "m", "i", "ig", "e", "ce", "cs", "at", "k",
                    "t", "sp", "re");

    /** It ignores {@code aw}, which nobody uses while it is there. */
    private static final Set<String> JOB_OPTIONAL = Set.of("f", "z", "d", "aw");

    private static final Set<String> HIRE = Set.of("t", "p", "z", "n", "at", "a", "h");
    private static final Set<String> TYPE =
            Set.of("n", "c", "g", "m", "d", "f", "p", "s", "b", "z");
    private static final Set<String> RELAY =
            Set.of("node", "life", "seq", "epoch", "beats", "heard", "kept");
    private static final int LIVE = 1;
    private static final int FAILED = 3;
    private static final int REPEATED_REPORT_FIELDS = 5;

    private RecordedForms() {}

    /** Whether a value has a form that the recorded version reads under that key. */
    static boolean isReadableValue(String key, JsonNode data) {
        if (key.equals(ROOT + "leader")) {
            return leader(data);
        } else if (key.equals(ROOT + "types")) {
            return all(data, type -> has(type, TYPE) && type.path("z").isArray());
        } else if (key.startsWith(ROOT + "job/")) {
            return job(data);
        } else if (key.startsWith(ROOT + "end/")) {
            return end(data);
        } else if (key.startsWith(ROOT + "hire/")) {
            return rental(data);
        } else if (key.startsWith(ROOT + "runs/")) {
            return key.matches(ROOT + "runs/\\d+-\\d+")
                    && data.isObject()
                    && all(data, RecordedForms::lines);
        }
        return key.matches(ROOT + "run/run-\\d+/\\d+") && lines(data);
    }

    private static boolean leader(JsonNode data) {
        return has(data, Set.of("node", "grant"))
                && data.path("node").isTextual()
                && data.path("grant").isIntegralNumber();
    }

    private static boolean rental(JsonNode data) {
        return has(data, HIRE)
                && data.path("n").isIntegralNumber()
                && data.path("at").isIntegralNumber()
                && data.path("a").isBoolean()
                && data.path("h").isArray();
    }

    /** It reads {@code s} alone; {@code at} says beside it when a job was done. */
    private static boolean end(JsonNode data) {
        if (has(data, Set.of("s", "at"))) {
            return data.path("s").asText().equals("done") && data.path("at").isIntegralNumber();
        }
        return has(data, Set.of("s"))
                && Set.of("done", "cancelled").contains(data.path("s").asText());
    }

    private static boolean job(JsonNode data) {
        if (!data.isObject()) {
            return false;
        }
        Set<String> fields = fields(data);
        if (!fields.containsAll(JOB)) {
            return false;
        }
        fields.removeAll(JOB);
        return JOB_OPTIONAL.containsAll(fields)
                && data.path("s").isIntegralNumber()
                && data.path("r").isIntegralNumber()
                && data.path("n").isIntegralNumber()
                && data.path("at").isIntegralNumber()
                && data.path("k").isIntegralNumber();
    }

    private static boolean lines(JsonNode lines) {
        return lines.isArray() && all(lines, RecordedForms::line);
    }

    /**
     * Task, attempt and state, and of what may be alive the machine and the incarnation of its
     * agent.
     */
    private static boolean line(JsonNode line) {
        int state = line.path(2).asInt(-1);
        return line.path(0).isInt()
                && line.path(1).isInt()
                && state >= 0
                && state <= FAILED
                && (state == LIVE
                        ? line.size() == 5
                                && line.path(3).isTextual()
                                && line.path(4).isIntegralNumber()
                        : line.size() == 3);
    }

    /** Whether a message to a controller has a form that the recorded version reads. */
    static boolean isReadableRequest(String method, String path, JsonNode body) {
        return switch (method + " " + path) {
            case "GET /peer/contact" -> true;
            case "POST /peer/cancelled" -> has(body, Set.of("jobs")) && body.path("jobs").isArray();
            case "POST /peer/orders" ->
                    has(body, Set.of("epoch", "messages"))
                            && all(
                                    body.path("messages"),
                                    message -> has(message, Set.of("addr", "tenure", "orders")));
            case "POST /peer/relay" ->
                    has(body, RELAY)
                            && all(body.path("beats"), RecordedForms::beat)
                            && all(body.path("kept"), kept -> has(kept, Set.of("ageMs", "report")));
            default -> false;
        };
    }

    private static boolean beat(JsonNode beat) {
        return beat.isArray() ? beat.size() == REPEATED_REPORT_FIELDS : beat.has("host");
    }

    /** Whether a controller's answer to such a message has a form that the recorded one reads. */
    static boolean isReadableAnswer(String path, JsonNode body) {
        return switch (path) {
            case "/peer/contact" -> has(body, Set.of("contactAgoMs", "epoch"));
            case "/peer/relay" ->
                    has(body, Set.of("epoch", "contactAgoMs", "live", "answers"))
                            && all(body.path("answers"), RecordedForms::verdict);
            default -> true;
        };
    }

    private static boolean verdict(JsonNode verdict) {
        return verdict.isArray() || Set.of("whole", "refused").contains(verdict.asText());
    }

    private static boolean has(JsonNode node, Set<String> exactly) {
        return node.isObject() && fields(node).equals(exactly);
    }

    private static Set<String> fields(JsonNode node) {
        Set<String> names = new HashSet<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static boolean all(JsonNode items, Predicate<JsonNode> form) {
        for (JsonNode item : items) {
            if (!form.test(item)) {
                return false;
            }
        }
        return items.isContainerNode();
    }
}
