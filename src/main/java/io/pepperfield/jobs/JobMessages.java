package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec.Priority;
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
    public static final class InvalidSubmissionException extends Exception {
        InvalidSubmissionException(String why) {
            super(why);
        }
    }

    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{6,15}");
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;
    private static final double MAX_NUMBER = 1e9;

    private JobMessages() {}

    /** Whether the text may name a job. */
    public static boolean validId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /** The id that a submission carries, or empty where it carries none of the right form. */
    public static String jobId(JsonNode body) {
        String id = body.path("nameId").isTextual() ? body.path("nameId").textValue() : "";
        return validId(id) ? id : "";
    }

    /** Reads and checks a submission; {@code chunk} tasks are to share a run record. */
    public static JobSpec decodeSubmission(JsonNode body, long nowMs, int chunk)
            throws InvalidSubmissionException {
        if (!body.isObject()) {
            throw new InvalidSubmissionException("want a JSON object");
        }
        String id = jobId(body);
        if (id.isEmpty()) {
            throw new InvalidSubmissionException("nameId: want run- and at least six digits");
        }
        Shape shape =
                switch (text(body, "shape")) {
                    case "sweep" -> Shape.ARRAY;
                    case "standing" -> Shape.SERVICE;
                    // Not in the users' table of shapes, but among the words of their platform; see
                    // docs/QUESTIONS.md.
                    case "gang" -> Shape.GANG;
                    default ->
                            throw new InvalidSubmissionException("shape: want sweep or standing");
                };
        Priority rank =
                switch (text(body, "rank")) {
                    case "production" -> Priority.PRODUCTION;
                    case "urgent" -> Priority.URGENT;
                    case "standard" -> Priority.STANDARD;
                    case "best_effort" -> Priority.BEST_EFFORT;
                    default ->
                            throw new InvalidSubmissionException(
                                    "rank: want production, urgent, standard or best_effort");
                };
        JsonNode tasks = body.path("shards");
        if (!tasks.isIntegralNumber()
                || !tasks.canConvertToInt()
                || tasks.intValue() < 1
                || tasks.intValue() > MAX_TASKS) {
            throw new InvalidSubmissionException(
                    "shards: want a whole number from 1 to " + MAX_TASKS);
        }
        double cpus = number(body, "vcpus");
        if (cpus <= 0) {
            throw new InvalidSubmissionException("vcpus: want more than 0");
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
                isAbsent(body.path("site")) ? null : text(body, "site"),
                flag(body, "together"),
                flag(body, "spread"),
                flag(body, "reclaimable"),
                number(body, "expectedS"),
                number(body, "snapshotEveryS"),
                number(body, "snapshotS"),
                isAbsent(due) ? null : (Double) number(body, "dueS"),
                nowMs,
                chunk,
                jobIds(body, "awaits"));
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static String text(JsonNode body, String field) throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        if (!isName(value)) {
            throw new InvalidSubmissionException(
                    field + ": want a name of 1 to " + MAX_NAME_LENGTH + " characters");
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
                && value.textValue().length() <= MAX_NAME_LENGTH
                && StandardCharsets.UTF_8.newEncoder().canEncode(value.textValue());
    }

    private static double number(JsonNode body, String field) throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= 0 && number <= MAX_NUMBER)) {
            throw new InvalidSubmissionException(field + ": want a number from 0 to 1e9");
        }
        return number;
    }

    private static boolean flag(JsonNode body, String field) throws InvalidSubmissionException {
        if (!body.path(field).isBoolean()) {
            throw new InvalidSubmissionException(field + ": want true or false");
        }
        return body.path(field).booleanValue();
    }

    private static List<String> names(JsonNode body, String field)
            throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        if (isAbsent(value)) {
            return null;
        }
        if (!value.isArray() || value.size() > 64) {
            throw new InvalidSubmissionException(field + ": want null or at most 64 names");
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : value) {
            if (!isName(name)) {
                throw new InvalidSubmissionException(
                        field + ": want names of 1 to " + MAX_NAME_LENGTH + " characters");
            }
            names.add(name.textValue());
        }
        return List.copyOf(names);
    }

    /** None where the field is absent; each id once. */
    private static List<String> jobIds(JsonNode body, String field)
            throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        if (isAbsent(value)) {
            return List.of();
        }
        Set<String> ids = new LinkedHashSet<>();
        for (JsonNode id : value) {
            if (!id.isTextual() || !validId(id.textValue())) {
                throw new InvalidSubmissionException(field + ": want an array of job ids");
            }
            ids.add(id.textValue());
        }
        if (!value.isArray()) {
            throw new InvalidSubmissionException(field + ": want an array of job ids");
        }
        return List.copyOf(ids);
    }

    /** Encodes an accepted job in the form kept in the state service. */
    public static ObjectNode encodeSpec(JobSpec job) {
        ObjectNode node =
                Json.object()
                        .put("w", job.workload())
                        .put("o", job.team())
                        .put("s", job.shape().ordinal())
                        .put("r", job.priority().ordinal())
                        .put("n", job.tasks())
                        .put("c", job.cpus())
                        .put("g", job.gpus())
                        .put("m", job.memGb())
                        .put("i", job.image())
                        .put("ig", job.imageGb())
                        .put("e", job.expectedRunTimeS())
                        .put("ce", job.checkpointIntervalS())
                        .put("cs", job.checkpointDurationS())
                        .put("at", job.acceptedMs())
                        .put("k", job.tasksPerRunRecord());
        if (job.machineTypes() != null) {
            ArrayNode types = node.putArray("f");
            job.machineTypes().forEach(types::add);
        }
        if (job.zone() != null) {
            node.put("z", job.zone());
        }
        if (job.deadlineS() != null) {
            node.put("d", job.deadlineS());
        }
        if (!job.dependencies().isEmpty()) {
            ArrayNode awaits = node.putArray("aw");
            job.dependencies().forEach(awaits::add);
        }
        return node.put("t", job.sameZone())
                .put("sp", job.spreadOverZones())
                .put("re", job.spotAllowed());
    }

    /** What the list of needed jobs takes of the durable form. */
    static int dependenciesBytes(JobSpec job) {
        return Json.write(encodeSpec(job)).length
                - Json.write(encodeSpec(job.withoutDependencies())).length;
    }

    /** Decodes what {@link #encodeSpec} has encoded. */
    public static JobSpec decodeSpec(String id, JsonNode n) {
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
                Priority.values()[n.path("r").asInt()],
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
    public static ObjectNode statusAnswer(String id, Status status, int done, int running) {
        return Json.object()
                .put("nameId", id)
                .put("status", status.wireName())
                .put("done", done)
                .put("running", running);
    }

    /** The answer that names a job and its state alone. */
    public static ObjectNode briefStatusAnswer(String id, Status status) {
        return Json.object().put("nameId", id).put("status", status.wireName());
    }

    /** Encodes a final state in the form kept in the state service. */
    public static ObjectNode encodeFinalStatus(Status status) {
        return Json.object().put("s", status.wireName());
    }

    /**
     * @param doneMs time of day, from which the times of the jobs that need it count; versions that
     *     do not know the field ignore it
     */
    public static ObjectNode encodeDone(long doneMs) {
        return encodeFinalStatus(Status.DONE).put("at", doneMs);
    }

    /** When the job was done, or empty where the version that wrote it did not say. */
    public static OptionalLong decodeDoneMs(JsonNode durable) {
        return durable.path("at").isIntegralNumber()
                ? OptionalLong.of(durable.path("at").longValue())
                : OptionalLong.empty();
    }

    /** Decodes what {@link #encodeFinalStatus} has encoded. */
    public static Status decodeFinalStatus(JsonNode durable) {
        return durable.path("s").asText().equals(Status.DONE.wireName())
                ? Status.DONE
                : Status.CANCELLED;
    }
}
