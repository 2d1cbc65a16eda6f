package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored state of one task.
 *
 * @param task the task number, from 0
 * @param attempt the number of the task's latest attempt, from 1
 * @param phase the phase of that attempt
 * @param machine the machine of a live attempt; empty in any other phase
 * @param incarnation the incarnation of the agent on that machine; 0 in any other phase
 */
public record TaskState(int task, int attempt, Phase phase, String machine, long incarnation) {

    /**
     * Number of keys among which a run record is split if it was stored under a higher size limit
     * than the current one. Not configurable, so that every leader looks up a task's state under
     * the same key.
     */
    public static final int SPLIT_PARTS = 4;

    /** Placeholder for a run record in an unknown format; known formats are arrays. */
    public static final JsonNode UNREADABLE_RECORD = Json.object().put("unreadable", true);

    /** The phase of a task's latest attempt; the order of the values is part of the stored form. */
    public enum Phase {
        /** The attempt is proven to have terminated without a result; the task is pending again. */
        GONE,
        /** The attempt may be live on its machine. */
        LIVE,
        /** The task is completed. */
        DONE,
        /** The attempt failed; the task is pending again. */
        FAILED
    }

    /** Encodes the task states of a run record in the stored form. */
    public static JsonNode encode(List<TaskState> states) {
        ArrayNode record = Json.array();
        for (TaskState state : states) {
            ArrayNode encoded =
                    record.addArray().add(state.task).add(state.attempt).add(state.phase.ordinal());
            if (state.phase == Phase.LIVE) {
                encoded.add(state.machine).add(state.incarnation);
            }
        }
        return record;
    }

    /**
     * Distributes the task states of a run record among its parts.
     *
     * @param firstTask the number of the record's first task
     * @param tasksPerRunRecord maximum number of tasks in the record
     */
    public static List<List<TaskState>> split(
            List<TaskState> states, int firstTask, int tasksPerRunRecord) {
        List<List<TaskState>> parts = new ArrayList<>();
        for (int part = 0; part < SPLIT_PARTS; part++) {
            parts.add(new ArrayList<>());
        }
        for (TaskState state : states) {
            int part = (state.task() - firstTask) * SPLIT_PARTS / tasksPerRunRecord;
            parts.get(part).add(state);
        }
        return parts;
    }

    /**
     * Returns the newer of two states of one task. A done task stays done, attempt numbers only
     * increase, and an attempt that is no longer live never becomes live again.
     */
    static TaskState newer(TaskState first, TaskState second) {
        if ((first.phase == Phase.DONE) != (second.phase == Phase.DONE)) {
            return first.phase == Phase.DONE ? first : second;
        }
        if (first.attempt != second.attempt) {
            return first.attempt > second.attempt ? first : second;
        }
        return first.phase == Phase.LIVE ? second : first;
    }

    /** Decodes only the phase from the stored form of one task. */
    static Phase decodePhase(JsonNode stored) {
        return Phase.values()[stored.path(2).asInt()];
    }

    /** Decodes the task states of a run record encoded by {@link #encode}. */
    public static List<TaskState> decode(JsonNode record) {
        List<TaskState> states = new ArrayList<>();
        for (JsonNode stored : record) {
            states.add(
                    new TaskState(
                            stored.path(0).asInt(),
                            stored.path(1).asInt(),
                            decodePhase(stored),
                            stored.path(3).asText(""),
                            stored.path(4).asLong()));
        }
        return states;
    }
}
