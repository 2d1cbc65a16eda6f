package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * What is stored of one task.
 *
 * @param task the task's number, from 0
 * @param attempt the number of its latest attempt, from 1
 * @param phase how far that attempt has got
 * @param machine where it may be alive; empty unless it is live
 * @param incarnation the agent's incarnation on that machine; 0 unless it is live
 */
public record TaskState(int task, int attempt, Phase phase, String machine, long incarnation) {

    /**
     * Among so many keys a run record is split that was stored under a higher limit than there is
     * now. It depends on no setting, so that every leader looks for a task's state under the same
     * key.
     */
    public static final int SPLIT_PARTS = 4;

    /** Stands for a run record of a form that is not known here; known ones are an array. */
    public static final JsonNode UNREADABLE_RECORD = Json.object().put("unreadable", true);

    /** How far a task's latest attempt has got; the order is part of the stored form. */
    public enum Phase {
        /** Proven ended without a result; the task waits to be started again. */
        GONE,
        /** May be alive on its machine. */
        LIVE,
        /** The task is completed. */
        DONE,
        /** Ended with a failure; the task waits to be started again. */
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
     * Splits the task states of a run record among its parts.
     *
     * @param firstTask the number of the record's first task
     * @param tasksPerRunRecord how many tasks the record may hold
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
     * Which of two states of one task is the newer one. A task that is done stays done, attempts
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

    /** Reads the phase alone from the stored form of one task. */
    static Phase decodePhase(JsonNode stored) {
        return Phase.values()[stored.path(2).asInt()];
    }

    /** Decodes what {@link #encode} has encoded. */
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
