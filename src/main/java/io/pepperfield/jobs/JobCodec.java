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

/** The stored forms of a job's description and of its final state. */
public final class JobCodec {

    private JobCodec() {}

    /** Encodes an accepted job. */
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

    /** What the list of dependencies takes of the encoded job, in bytes. */
    static int dependenciesBytes(JobSpec job) {
        return Json.write(encodeSpec(job)).length
                - Json.write(encodeSpec(job.withoutDependencies())).length;
    }

    /** Decodes what {@link #encodeSpec} has encoded. */
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
                node.has("f") ? texts(node.get("f")) : null,
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
                texts(node.path("aw")));
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    /** Encodes a final state. */
    public static ObjectNode encodeFinalStatus(Status status) {
        return Json.object().put("s", status.wireName());
    }

    /**
     * Encodes the final state of a job that is done.
     *
     * @param doneMs time of day in milliseconds, from which the times of its dependents count;
     *     versions that do not know the field ignore it
     */
    public static ObjectNode encodeDone(long doneMs) {
        return encodeFinalStatus(Status.DONE).put("at", doneMs);
    }

    /**
     * When the job was done, as time of day in milliseconds; empty where the version that wrote it
     * did not say.
     */
    public static OptionalLong decodeDoneMs(JsonNode stored) {
        JsonNode doneMs = stored.path("at");
        return doneMs.isIntegralNumber()
                ? OptionalLong.of(doneMs.longValue())
                : OptionalLong.empty();
    }

    /** Decodes what {@link #encodeFinalStatus} has encoded. */
    public static Status decodeFinalStatus(JsonNode stored) {
        return stored.path("s").asText().equals(Status.DONE.wireName())
                ? Status.DONE
                : Status.CANCELLED;
    }
}
