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
 * The compact form of a job's run record. Tasks are grouped by phase, live ones by machine and the
 * incarnation of its agent, and neighbouring tasks of the same attempt are one run of three
 * numbers: first task, count, attempt. A machine's name stands once, however many tasks it has.
 */
final class CompactRunRecordCodec {

    /** So many times as many tasks are kept in a record as in the first form. */
    static final int TASKS_PER_RECORD_FACTOR = 2;

    private static final String VERSION = "v";
    private static final String LIVE = "live";
    private static final int RUN_FIELDS = 3;

    /** In a group of live tasks: machine and incarnation stand before the runs. */
    private static final int LIVE_GROUP_HEADER_FIELDS = 2;

    /** More tasks than any job has: a damaged count must not fill the heap. */
    private static final int MAX_TASKS = 100_000;

    /** A value that is no record of this form. */
    static final class UnreadableRecordException extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableRecordException(String reason) {
            super(reason);
        }
    }

    /** A live task's machine, and the incarnation of its agent. */
    private record AgentIncarnation(String machine, long incarnation) {}

    private CompactRunRecordCodec() {}

    /** Encodes a record of the first form. */
    static JsonNode encode(JsonNode first) {
        List<TaskState> taskStates = new ArrayList<>(TaskState.decode(first));
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

    /** Lengthens the last run by the task, or begins another. */
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

    /** Decodes to the first form, with the tasks in their order. */
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
                    throw new UnreadableRecordException("a live group without machine and session");
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
                throw new UnreadableRecordException("a run of " + count + " tasks");
            }
            for (int task = first; task < first + count; task++) {
                taskStates.add(
                        new TaskState(task, attempt, phase, agent.machine, agent.incarnation));
            }
        }
    }

    private static int readCount(JsonNode value) throws UnreadableRecordException {
        if (!value.isInt() || value.intValue() < 0) {
            throw new UnreadableRecordException("a run with " + value);
        }
        return value.intValue();
    }
}
