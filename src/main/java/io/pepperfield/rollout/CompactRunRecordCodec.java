package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.jobs.TaskState.Phase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts a job's run record between the version 1 format and the compact format of version 2. The
 * compact format groups tasks by phase, and live tasks also by machine and the incarnation of its
 * agent. Consecutive tasks with the same attempt number are run-length encoded as three numbers:
 * first task, count, attempt. Each machine name is stored once, however many tasks the machine has.
 */
final class CompactRunRecordCodec {

    /** Ratio of the tasks in a compact record to those in a version 1 record. */
    static final int TASKS_PER_RECORD_FACTOR = 2;

    private static final String VERSION = "v";
    private static final String LIVE = "live";
    private static final int RUN_FIELDS = 3;

    /** A group of live tasks starts with the machine and the incarnation of its agent. */
    private static final int LIVE_GROUP_HEADER_FIELDS = 2;

    /** More tasks than any job has, so that a corrupted count cannot exhaust the heap. */
    private static final int MAX_TASKS = 100_000;

    /** Thrown for a value that is not a valid compact record. */
    static final class UnreadableRecordException extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableRecordException(String reason) {
            super(reason);
        }
    }

    /** The machine of a live task and the incarnation of the agent there. */
    private record AgentIncarnation(String machine, long incarnation) {}

    private CompactRunRecordCodec() {}

    /** Converts a version 1 record to the compact format. */
    static JsonNode encode(JsonNode versionOneRecord) {
        List<TaskState> taskStates = new ArrayList<>(TaskState.decode(versionOneRecord));
        taskStates.sort(Comparator.comparingInt(TaskState::task));
        Map<AgentIncarnation, ArrayNode> live = new LinkedHashMap<>();
        ObjectNode record = Json.object().put(VERSION, StoredVersions.COMPACT_RUN_RECORDS);
        for (TaskState taskState : taskStates) {
            if (taskState.phase() == Phase.LIVE) {
                AgentIncarnation agent =
                        new AgentIncarnation(taskState.machine(), taskState.incarnation());
                appendTask(
                        live.computeIfAbsent(
                                agent, key -> Json.array().add(key.machine).add(key.incarnation)),
                        taskState,
                        LIVE_GROUP_HEADER_FIELDS);
            } else {
                appendTask(record.withArray(groupName(taskState.phase())), taskState, 0);
            }
        }
        if (!live.isEmpty()) {
            record.putArray(LIVE).addAll(live.values());
        }
        return record;
    }

    private static String groupName(Phase phase) {
        return switch (phase) {
            case GONE -> "gone";
            case LIVE -> LIVE;
            case DONE -> "done";
            case FAILED -> "failed";
        };
    }

    /** Extends the last run by the task if it continues that run, or else starts a new run. */
    private static void appendTask(ArrayNode group, TaskState taskState, int headerFields) {
        int last = group.size() - RUN_FIELDS;
        if (last >= headerFields
                && group.get(last).asInt() + group.get(last + 1).asInt() == taskState.task()
                && group.get(last + 2).asInt() == taskState.attempt()) {
            group.set(last + 1, group.get(last + 1).asInt() + 1);
        } else {
            group.add(taskState.task()).add(1).add(taskState.attempt());
        }
    }

    /** Converts a compact record to the version 1 format, with the tasks in ascending order. */
    static JsonNode decode(JsonNode record) throws UnreadableRecordException {
        if (record.path(VERSION).asInt(0) != StoredVersions.COMPACT_RUN_RECORDS) {
            throw new UnreadableRecordException("version " + record.path(VERSION));
        }
        List<TaskState> taskStates = new ArrayList<>();
        for (Phase phase : Phase.values()) {
            JsonNode groups = record.path(groupName(phase));
            if (groups.isMissingNode()) {
                continue;
            }
            if (phase != Phase.LIVE) {
                decodeRuns(groups, 0, phase, new AgentIncarnation("", 0), taskStates);
                continue;
            }
            for (JsonNode group : groups) {
                if (!group.path(0).isTextual() || !group.path(1).isIntegralNumber()) {
                    throw new UnreadableRecordException(
                            "live group does not start with a machine name and an agent incarnation");
                }
                AgentIncarnation agent =
                        new AgentIncarnation(group.get(0).asText(), group.get(1).longValue());
                decodeRuns(group, LIVE_GROUP_HEADER_FIELDS, phase, agent, taskStates);
            }
        }
        taskStates.sort(Comparator.comparingInt(TaskState::task));
        return TaskState.encode(taskStates);
    }

    private static void decodeRuns(
            JsonNode group,
            int headerFields,
            Phase phase,
            AgentIncarnation agent,
            List<TaskState> taskStates)
            throws UnreadableRecordException {
        if (!group.isArray() || (group.size() - headerFields) % RUN_FIELDS != 0) {
            throw new UnreadableRecordException("a run that is cut off");
        }
        for (int i = headerFields; i < group.size(); i += RUN_FIELDS) {
            int first = readCount(group.get(i));
            int count = readCount(group.get(i + 1));
            int attempt = readCount(group.get(i + 2));
            if (taskStates.size() + count > MAX_TASKS) {
                throw new UnreadableRecordException(
                        "too many tasks: a run has " + count + " of them");
            }
            for (int task = first; task < first + count; task++) {
                taskStates.add(
                        new TaskState(task, attempt, phase, agent.machine, agent.incarnation));
            }
        }
    }

    private static int readCount(JsonNode value) throws UnreadableRecordException {
        if (!value.isInt() || value.intValue() < 0) {
            throw new UnreadableRecordException(
                    "run field is not a non-negative integer: " + value);
        }
        return value.intValue();
    }
}
