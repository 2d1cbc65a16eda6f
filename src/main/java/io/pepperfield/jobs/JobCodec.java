package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec.Priority;
import io.pepperfield.jobs.JobSpec.Shape;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Encodes and decodes the stored form of a job's specification and of its final state. */
public final class JobCodec {

    private JobCodec() {}

    /** Encodes the specification of an accepted job. */
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
            ArrayNode dependencies = node.putArray("aw");
            job.dependencies().forEach(dependencies::add);
        }
        return node.put("t", job.sameZone())
                .put("sp", job.spreadOverZones())
                .put("re", job.spotAllowed());
    }

    /** The size in bytes of the dependency list within the encoded specification. */
    static int dependenciesBytes(JobSpec job) {
        return Json.write(encodeSpec(job)).length
                - Json.write(encodeSpec(job.withoutDependencies())).length;
    }

    /** Decodes a specification encoded by {@link #encodeSpec}. */
    public static JobSpec decodeSpec(String id, JsonNode node) {
        return new JobSpec(
                id,
                node.path("w").asText(),
                node.path("o").asText(),
                Shape.values()[node.path("s").asInt()],
                Priority.values()[node.path("r").asInt()],
                node.path("n").asInt(),
                node.path("c").asDouble(),
                node.path("g").asDouble(),
                node.path("m").asDouble(),
                node.path("i").asText(),
                node.path("ig").asDouble(),
                node.has("f") ? textValues(node.get("f")) : null,
                node.has("z") ? node.path("z").asText() : null,
                node.path("t").asBoolean(),
                node.path("sp").asBoolean(),
                node.path("re").asBoolean(),
                node.path("e").asDouble(),
                node.path("ce").asDouble(),
                node.path("cs").asDouble(),
                node.has("d") ? node.path("d").doubleValue() : null,
                node.path("at").asLong(),
                node.path("k").asInt(1),
                textValues(node.path("aw")));
    }

    private static List<String> textValues(JsonNode array) {
        List<String> values = new ArrayList<>();
        array.forEach(value -> values.add(value.asText()));
        return values;
    }

    /** Encodes a final state without the time at which it was reached. */
    public static ObjectNode encodeFinalStatus(Status status) {
        return Json.object().put("s", status.wireName());
    }

    /**
     * Encodes the final state of a job that is done.
     *
     * @param doneMs wall-clock time in milliseconds at which the job was done, from which the
     *     waiting times of its dependents count; versions without this field ignore it
     */
    public static ObjectNode encodeDone(long doneMs) {
        return encodeFinalStatus(Status.DONE).put("at", doneMs);
    }

    /**
     * Decodes the wall-clock time in milliseconds at which the job was done; empty if the version
     * that wrote the final state did not record it.
     */
    public static OptionalLong decodeDoneMs(JsonNode stored) {
        JsonNode doneMs = stored.path("at");
        return doneMs.isIntegralNumber()
                ? OptionalLong.of(doneMs.longValue())
                : OptionalLong.empty();
    }

    /**
     * Decodes the status of a final state encoded by {@link #encodeFinalStatus} or {@link
     * #encodeDone}.
     */
    public static Status decodeFinalStatus(JsonNode stored) {
        return stored.path("s").asText().equals(Status.DONE.wireName())
                ? Status.DONE
                : Status.CANCELLED;
    }
}
