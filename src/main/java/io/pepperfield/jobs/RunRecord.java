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
public record RunRecord(int task, int attempt, State state, String machine, long tenure) {

    /**
     * Among so many keys a record is divided that was stored under a higher limit than there is
     * now. It depends on no setting, so that every leader looks for a task's line under the same
     * key.
     */
    public static final int PARTS = 4;

    /** Stands for a record of a form that is not known here; lines are an array. */
    public static final JsonNode UNREADABLE = Json.object().put("unreadable", true);

    /** What is durable about a task's latest attempt; the order is part of the durable form. */
    public enum State {
        GONE,
        LIVE,
        DONE,
        FAILED
    }

    /** Encodes records in the form kept in the state service. */
    public static JsonNode write(List<RunRecord> records) {
        ArrayNode all = Json.array();
        for (RunRecord record : records) {
            ArrayNode line =
                    all.addArray().add(record.task).add(record.attempt).add(record.state.ordinal());
            if (record.state == State.LIVE) {
                line.add(record.machine).add(record.tenure);
            }
        }
        return all;
    }

    /**
     * The lines of a record that begins with {@code firstTask} and takes {@code chunk} tasks,
     * divided among its parts.
     */
    public static List<List<RunRecord>> divide(List<RunRecord> lines, int firstTask, int chunk) {
        List<List<RunRecord>> parts = new ArrayList<>();
        for (int part = 0; part < PARTS; part++) {
            parts.add(new ArrayList<>());
        }
        for (RunRecord line : lines) {
            parts.get((line.task() - firstTask) * PARTS / chunk).add(line);
        }
        return parts;
    }

    /**
     * Which of two lines of one task is the newer one. A task that is done stays done, attempts
     * only count up, and an attempt that was alive is never alive again.
     */
    static RunRecord newer(RunRecord one, RunRecord other) {
        if ((one.state == State.DONE) != (other.state == State.DONE)) {
            return one.state == State.DONE ? one : other;
        }
        if (one.attempt != other.attempt) {
            return one.attempt > other.attempt ? one : other;
        }
        return one.state == State.LIVE ? other : one;
    }

    static State stateOf(JsonNode line) {
        return State.values()[line.path(2).asInt()];
    }

    /** Decodes what {@link #write} has encoded. */
    public static List<RunRecord> read(JsonNode data) {
        List<RunRecord> records = new ArrayList<>();
        for (JsonNode line : data) {
            records.add(
                    new RunRecord(
                            line.path(0).asInt(),
                            line.path(1).asInt(),
                            stateOf(line),
                            line.path(3).asText(""),
                            line.path(4).asLong()));
        }
        return records;
    }
}
