package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * The durable line of one task: its latest attempt, where it may be alive, that it is done, or that
 * it failed.
 */
public record TaskState(int task, int attempt, Phase phase, String machine, long incarnation) {

    /**
     * Among so many keys a record is divided that was stored under a higher limit than there is
     * now. It depends on no setting, so that every leader looks for a task's line under the same
     * key.
     */
    public static final int SPLIT_PARTS = 4;

    /** Stands for a record of a form that is not known here; lines are an array. */
    public static final JsonNode UNREADABLE_RECORD = Json.object().put("unreadable", true);

    /** What is durable about a task's latest attempt; the order is part of the durable form. */
    public enum Phase {
        GONE,
        LIVE,
        DONE,
        FAILED
    }

    /** Encodes records in the form kept in the state service. */
    public static JsonNode encode(List<TaskState> records) {
        ArrayNode all = Json.array();
        for (TaskState record : records) {
            ArrayNode line =
                    all.addArray().add(record.task).add(record.attempt).add(record.phase.ordinal());
            if (record.phase == Phase.LIVE) {
                line.add(record.machine).add(record.incarnation);
            }
        }
        return all;
    }

    /**
     * The lines of a record that begins with {@code firstTask} and takes {@code chunk} tasks,
     * divided among its parts.
     */
    public static List<List<TaskState>> split(List<TaskState> lines, int firstTask, int chunk) {
        List<List<TaskState>> parts = new ArrayList<>();
        for (int part = 0; part < SPLIT_PARTS; part++) {
            parts.add(new ArrayList<>());
        }
        for (TaskState line : lines) {
            parts.get((line.task() - firstTask) * SPLIT_PARTS / chunk).add(line);
        }
        return parts;
    }

    /**
     * Which of two lines of one task is the newer one. A task that is done stays done, attempts
     * only count up, and an attempt that was alive is never alive again.
     */
    static TaskState newer(TaskState one, TaskState other) {
        if ((one.phase == Phase.DONE) != (other.phase == Phase.DONE)) {
            return one.phase == Phase.DONE ? one : other;
        }
        if (one.attempt != other.attempt) {
            return one.attempt > other.attempt ? one : other;
        }
        return one.phase == Phase.LIVE ? other : one;
    }

    static Phase decodePhase(JsonNode line) {
        return Phase.values()[line.path(2).asInt()];
    }

    /** Decodes what {@link #encode} has encoded. */
    public static List<TaskState> decode(JsonNode data) {
        List<TaskState> records = new ArrayList<>();
        for (JsonNode line : data) {
            records.add(
                    new TaskState(
                            line.path(0).asInt(),
                            line.path(1).asInt(),
                            decodePhase(line),
                            line.path(3).asText(""),
                            line.path(4).asLong()));
        }
        return records;
    }
}
