package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.jobs.JobMessages.InvalidSubmissionException;
import io.pepperfield.jobs.JobSpec.Priority;
import io.pepperfield.jobs.JobSpec.Shape;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Decodes and validates the body of one submission. */
final class SubmissionDecoder {

    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_MACHINE_TYPES = 64;
    private static final double MAX_NUMBER = 1e9;

    private final JsonNode body;

    SubmissionDecoder(JsonNode body) {
        this.body = body;
    }

    /**
     * @param nowMs wall-clock time of the submission in milliseconds
     * @param tasksPerRunRecord number of tasks per run record
     * @throws InvalidSubmissionException for the first missing or invalid field
     */
    JobSpec decode(long nowMs, int tasksPerRunRecord) throws InvalidSubmissionException {
        if (!body.isObject()) {
            throw new InvalidSubmissionException("want a JSON object");
        }
        String id = id();
        Shape shape = shape();
        Priority priority = priority();
        int tasks = tasks();
        double cpus = cpus();
        return new JobSpec(
                id,
                name("workload"),
                name("owner"),
                shape,
                priority,
                tasks,
                cpus,
                number("accelerators"),
                number("memGb"),
                name("bundle"),
                number("pullGb"),
                machineTypes(),
                isAbsent("site") ? null : name("site"),
                flag("together"),
                flag("spread"),
                flag("reclaimable"),
                number("expectedS"),
                number("snapshotEveryS"),
                number("snapshotS"),
                isAbsent("dueS") ? null : (Double) number("dueS"),
                nowMs,
                tasksPerRunRecord,
                dependencies());
    }

    private String id() throws InvalidSubmissionException {
        String id = JobMessages.jobId(body);
        if (id.isEmpty()) {
            throw new InvalidSubmissionException("nameId: want run- and at least six digits");
        }
        return id;
    }

    private Shape shape() throws InvalidSubmissionException {
        return switch (name("shape")) {
            case "sweep" -> Shape.ARRAY;
            case "standing" -> Shape.SERVICE;
            // Not listed among the shapes of the user API, but used as a term on the users'
            // platform; see docs/QUESTIONS.md.
            case "gang" -> Shape.GANG;
            default -> throw new InvalidSubmissionException("shape: want sweep or standing");
        };
    }

    private Priority priority() throws InvalidSubmissionException {
        return switch (name("rank")) {
            case "production" -> Priority.PRODUCTION;
            case "urgent" -> Priority.URGENT;
            case "standard" -> Priority.STANDARD;
            case "best_effort" -> Priority.BEST_EFFORT;
            default ->
                    throw new InvalidSubmissionException(
                            "rank: want production, urgent, standard or best_effort");
        };
    }

    private int tasks() throws InvalidSubmissionException {
        JsonNode tasks = body.path("shards");
        boolean valid =
                tasks.isIntegralNumber()
                        && tasks.canConvertToInt()
                        && tasks.intValue() >= 1
                        && tasks.intValue() <= MAX_TASKS;
        if (!valid) {
            throw new InvalidSubmissionException(
                    "shards: want a whole number from 1 to " + MAX_TASKS);
        }
        return tasks.intValue();
    }

    private double cpus() throws InvalidSubmissionException {
        double cpus = number("vcpus");
        if (cpus <= 0) {
            throw new InvalidSubmissionException("vcpus: want more than 0");
        }
        return cpus;
    }

    /** The allowed machine types, or null for any. */
    private List<String> machineTypes() throws InvalidSubmissionException {
        if (isAbsent("flavours")) {
            return null;
        }
        JsonNode value = body.path("flavours");
        if (!value.isArray() || value.size() > MAX_MACHINE_TYPES) {
            throw new InvalidSubmissionException(
                    "flavours: want null or at most " + MAX_MACHINE_TYPES + " names");
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : value) {
            if (!isName(name)) {
                throw new InvalidSubmissionException(
                        "flavours: want names of 1 to " + MAX_NAME_LENGTH + " characters");
            }
            names.add(name.textValue());
        }
        return List.copyOf(names);
    }

    /** The ids of the dependencies without duplicates; empty if the field is absent. */
    private List<String> dependencies() throws InvalidSubmissionException {
        if (isAbsent("awaits")) {
            return List.of();
        }
        JsonNode value = body.path("awaits");
        Set<String> ids = new LinkedHashSet<>();
        for (JsonNode id : value) {
            if (!id.isTextual() || !JobMessages.isValidId(id.textValue())) {
                throw new InvalidSubmissionException("awaits: want an array of job ids");
            }
            ids.add(id.textValue());
        }
        if (!value.isArray()) {
            throw new InvalidSubmissionException("awaits: want an array of job ids");
        }
        return List.copyOf(ids);
    }

    private boolean isAbsent(String field) {
        JsonNode value = body.path(field);
        return value.isMissingNode() || value.isNull();
    }

    private String name(String field) throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        if (!isName(value)) {
            throw new InvalidSubmissionException(
                    field + ": want a name of 1 to " + MAX_NAME_LENGTH + " characters");
        }
        return value.textValue();
    }

    /**
     * Whether the value is a valid name. Unpaired surrogates are rejected because they cannot be
     * encoded: a store that refused one would refuse the whole transaction.
     */
    private static boolean isName(JsonNode value) {
        return value.isTextual()
                && !value.textValue().isBlank()
                && value.textValue().length() <= MAX_NAME_LENGTH
                && StandardCharsets.UTF_8.newEncoder().canEncode(value.textValue());
    }

    private double number(String field) throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= 0 && number <= MAX_NUMBER)) {
            throw new InvalidSubmissionException(field + ": want a number from 0 to 1e9");
        }
        return number;
    }

    private boolean flag(String field) throws InvalidSubmissionException {
        JsonNode value = body.path(field);
        if (!value.isBoolean()) {
            throw new InvalidSubmissionException(field + ": want true or false");
        }
        return value.booleanValue();
    }
}
