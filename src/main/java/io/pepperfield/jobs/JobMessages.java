package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec.Rank;
import io.pepperfield.jobs.JobSpec.Shape;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The users' messages and the durable form of a job; the only place in this slice that knows field
 * names.
 */
public final class JobMessages {

    /** A field is missing or invalid; the message says which. */
    public static final class Malformed extends Exception {
        Malformed(String why) {
            super(why);
        }
    }

    private static final Pattern ID = Pattern.compile("run-[0-9]{6,15}");
    private static final int MOST_TASKS = 100_000;
    private static final int LONGEST_NAME = 200;
    private static final double MOST = 1e9;

    private JobMessages() {}

    /** Whether the text may name a job. */
    public static boolean validId(String id) {
        return ID.matcher(id).matches();
    }

    /** The id that a submission carries, or empty where it carries none of the right form. */
    public static String idOf(JsonNode body) {
        String id = body.path("nameId").isTextual() ? body.path("nameId").textValue() : "";
        return validId(id) ? id : "";
    }

    /** Reads and checks a submission; {@code chunk} tasks are to share a run record. */
    public static JobSpec submission(JsonNode body, long nowMs, int chunk) throws Malformed {
        if (!body.isObject()) {
            throw new Malformed("want a JSON object");
        }
        String id = idOf(body);
        if (id.isEmpty()) {
            throw new Malformed("nameId: want run- and at least six digits");
        }
        Shape shape =
                switch (text(body, "shape")) {
                    case "sweep" -> Shape.ARRAY;
                    case "standing" -> Shape.SERVICE;
                    // Not in the users' table of shapes, but among the words of their platform; see
                    // docs/QUESTIONS.md.
                    case "gang" -> Shape.GANG;
                    default -> throw new Malformed("shape: want sweep or standing");
                };
        Rank rank =
                switch (text(body, "rank")) {
                    case "production" -> Rank.PRODUCTION;
                    case "urgent" -> Rank.URGENT;
                    case "standard" -> Rank.STANDARD;
                    case "best_effort" -> Rank.BEST_EFFORT;
                    default ->
                            throw new Malformed(
                                    "rank: want production, urgent, standard or best_effort");
                };
        JsonNode tasks = body.path("shards");
        if (!tasks.isIntegralNumber()
                || !tasks.canConvertToInt()
                || tasks.intValue() < 1
                || tasks.intValue() > MOST_TASKS) {
            throw new Malformed("shards: want a whole number from 1 to " + MOST_TASKS);
        }
        double cpus = number(body, "vcpus");
        if (cpus <= 0) {
            throw new Malformed("vcpus: want more than 0");
        }
        JsonNode due = body.path("dueS");
        return new JobSpec(
                id,
                text(body, "workload"),
                text(body, "owner"),
                shape,
                rank,
                tasks.intValue(),
                cpus,
                number(body, "accelerators"),
                number(body, "memGb"),
                text(body, "bundle"),
                number(body, "pullGb"),
                names(body, "flavours"),
                absent(body.path("site")) ? null : text(body, "site"),
                flag(body, "together"),
                flag(body, "spread"),
                flag(body, "reclaimable"),
                number(body, "expectedS"),
                number(body, "snapshotEveryS"),
                number(body, "snapshotS"),
                absent(due) ? null : (Double) number(body, "dueS"),
                nowMs,
                chunk,
                ids(body, "awaits"));
    }

    private static boolean absent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static String text(JsonNode body, String field) throws Malformed {
        JsonNode value = body.path(field);
        if (!isName(value)) {
            throw new Malformed(field + ": want a name of 1 to " + LONGEST_NAME + " characters");
        }
        return value.textValue();
    }

    /**
     * Half a surrogate pair is no character: who refused to store it would refuse all that is
     * written beside it.
     */
    private static boolean isName(JsonNode value) {
        return value.isTextual()
                && !value.textValue().isBlank()
                && value.textValue().length() <= LONGEST_NAME
                && StandardCharsets.UTF_8.newEncoder().canEncode(value.textValue());
    }

    private static double number(JsonNode body, String field) throws Malformed {
        JsonNode value = body.path(field);
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= 0 && number <= MOST)) {
            throw new Malformed(field + ": want a number from 0 to 1e9");
        }
        return number;
    }

    private static boolean flag(JsonNode body, String field) throws Malformed {
        if (!body.path(field).isBoolean()) {
            throw new Malformed(field + ": want true or false");
        }
        return body.path(field).booleanValue();
    }

    private static List<String> names(JsonNode body, String field) throws Malformed {
        JsonNode value = body.path(field);
        if (absent(value)) {
            return null;
        }
        if (!value.isArray() || value.size() > 64) {
            throw new Malformed(field + ": want null or at most 64 names");
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : value) {
            if (!isName(name)) {
                throw new Malformed(field + ": want names of 1 to " + LONGEST_NAME + " characters");
            }
            names.add(name.textValue());
        }
        return List.copyOf(names);
    }

    /** None where the field is absent; each id once. */
    private static List<String> ids(JsonNode body, String field) throws Malformed {
        JsonNode value = body.path(field);
        if (absent(value)) {
            return List.of();
        }
        Set<String> ids = new LinkedHashSet<>();
        for (JsonNode id : value) {
            if (!id.isTextual() || !validId(id.textValue())) {
                throw new Malformed(field + ": want an array of job ids");
            }
            ids.add(id.textValue());
        }
        if (!value.isArray()) {
            throw new Malformed(field + ": want an array of job ids");
        }
        return List.copyOf(ids);
    }

    /** Encodes an accepted job in the form kept in the state service. */
    public static ObjectNode durable(JobSpec job) {
        ObjectNode node =
                Json.object()
                        .put("w", job.workload())
                        .put("o", job.team())
                        .put("s", job.shape().ordinal())
                        .put("r", job.rank().ordinal())
                        .put("n", job.tasks())
                        .put("c", job.cpus())
                        .put("g", job.gpus())
                        .put("m", job.memGb())
                        .put("i", job.image())
                        .put("ig", job.imageGb())
                        .put("e", job.expectedS())
                        .put("ce", job.checkpointEveryS())
                        .put("cs", job.checkpointS())
                        .put("at", job.acceptedMs())
                        .put("k", job.chunk());
        if (job.types() != null) {
            ArrayNode types = node.putArray("f");
            job.types().forEach(types::add);
        }
        if (job.zone() != null) {
            node.put("z", job.zone());
        }
        if (job.dueS() != null) {
            node.put("d", job.dueS());
        }
        if (!job.awaits().isEmpty()) {
            ArrayNode awaits = node.putArray("aw");
            job.awaits().forEach(awaits::add);
        }
        return node.put("t", job.oneZone()).put("sp", job.spread()).put("re", job.spot());
    }

    /** What the list of needed jobs takes of the durable form. */
    static int awaitsBytes(JobSpec job) {
        return Json.write(durable(job)).length - Json.write(durable(job.withoutAwaits())).length;
    }

    /** Decodes what {@link #durable} has encoded. */
    public static JobSpec fromDurable(String id, JsonNode n) {
        List<String> types = null;
        if (n.has("f")) {
            types = new ArrayList<>();
            for (JsonNode type : n.get("f")) {
                types.add(type.asText());
            }
        }
        List<String> awaits = new ArrayList<>();
        n.path("aw").forEach(other -> awaits.add(other.asText()));
        return new JobSpec(
                id,
                n.path("w").asText(),
                n.path("o").asText(),
                Shape.values()[n.path("s").asInt()],
                Rank.values()[n.path("r").asInt()],
                n.path("n").asInt(),
                n.path("c").asDouble(),
                n.path("g").asDouble(),
                n.path("m").asDouble(),
                n.path("i").asText(),
                n.path("ig").asDouble(),
                types,
                n.has("z") ? n.path("z").asText() : null,
                n.path("t").asBoolean(),
                n.path("sp").asBoolean(),
                n.path("re").asBoolean(),
                n.path("e").asDouble(),
                n.path("ce").asDouble(),
                n.path("cs").asDouble(),
                n.has("d") ? n.path("d").doubleValue() : null,
                n.path("at").asLong(),
                n.path("k").asInt(1),
                awaits);
    }

    /** The answer to a query for a job's state, with its counts of tasks. */
    public static ObjectNode state(String id, Status status, int done, int running) {
        return Json.object()
                .put("nameId", id)
                .put("status", status.word())
                .put("done", done)
                .put("running", running);
    }

    /** The answer that names a job and its state alone. */
    public static ObjectNode brief(String id, Status status) {
        return Json.object().put("nameId", id).put("status", status.word());
    }

    /** Encodes a final state in the form kept in the state service. */
    public static ObjectNode durableEnd(Status status) {
        return Json.object().put("s", status.word());
    }

    /**
     * @param doneMs time of day, from which the times of the jobs that need it count; versions that
     *     do not know the field ignore it
     */
    public static ObjectNode durableDone(long doneMs) {
        return durableEnd(Status.DONE).put("at", doneMs);
    }

    /** When the job was done, or empty where the version that wrote it did not say. */
    public static OptionalLong doneMs(JsonNode durable) {
        return durable.path("at").isIntegralNumber()
                ? OptionalLong.of(durable.path("at").longValue())
                : OptionalLong.empty();
    }

    /** Decodes what {@link #durableEnd} has encoded. */
    public static Status end(JsonNode durable) {
        return durable.path("s").asText().equals(Status.DONE.word())
                ? Status.DONE
                : Status.CANCELLED;
    }
}
