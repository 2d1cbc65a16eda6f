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
 * The compact form of a job's run record. Lines are grouped by state, live ones by machine and its
 * session, and neighbouring tasks of the same attempt are one run of three numbers: first task,
 * count, attempt. A machine's name stands once, however many tasks it has.
 */
final class CompactRunRecords {

    /** So many times as many lines are kept in a record as in the first form. */
    static final int TASKS_PER_RECORD_FACTOR = 2;

    private static final String VERSION = "v";
    private static final String LIVE = "live";
    private static final int RUN_FIELDS = 3;

    /** In a group of live tasks: machine and session stand before the runs. */
    private static final int LIVE_GROUP_HEADER_FIELDS = 2;

    /** More tasks than any job has: a damaged count must not fill the heap. */
    private static final int MAX_TASKS = 100_000;

    /** A value that is no record of this form. */
    static final class UnreadableRecord extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableRecord(String why) {
            super(why);
        }
    }

    /** A live task's machine and session. */
    private record AgentIncarnation(String machine, long incarnation) {}

    private CompactRunRecords() {}

    /** Encodes the lines of a record of the first form. */
    static JsonNode encode(JsonNode first) {
        List<TaskState> lines = new ArrayList<>(TaskState.decode(first));
        lines.sort(Comparator.comparingInt(TaskState::task));
        Map<AgentIncarnation, ArrayNode> live = new LinkedHashMap<>();
        ObjectNode record = Json.object().put(VERSION, StoredVersions.COMPACT_RUN_RECORDS);
        for (TaskState line : lines) {
            if (line.phase() == Phase.LIVE) {
                AgentIncarnation session = new AgentIncarnation(line.machine(), line.incarnation());
                appendTask(
                        live.computeIfAbsent(
                                session, s -> Json.array().add(s.machine).add(s.incarnation)),
                        line,
                        LIVE_GROUP_HEADER_FIELDS);
            } else {
                appendTask(record.withArray(groupName(line.phase())), line, 0);
            }
        }
        if (!live.isEmpty()) {
            record.putArray(LIVE).addAll(live.values());
        }
        return record;
    }

    private static String groupName(Phase state) {
        return switch (state) {
            case GONE -> "gone";
            case LIVE -> LIVE;
            case DONE -> "done";
            case FAILED -> "failed";
        };
    }

    /** Lengthens the last run by the line's task, or begins another. */
    private static void appendTask(ArrayNode group, TaskState line, int before) {
        int last = group.size() - RUN_FIELDS;
        if (last >= before
                && group.get(last).asInt() + group.get(last + 1).asInt() == line.task()
                && group.get(last + 2).asInt() == line.attempt()) {
            group.set(last + 1, group.get(last + 1).asInt() + 1);
        } else {
            group.add(line.task()).add(1).add(line.attempt());
        }
    }

    /** Decodes to the first form, with the lines in the order of their tasks. */
    static JsonNode decode(JsonNode record) throws UnreadableRecord {
        if (record.path(VERSION).asInt(0) != StoredVersions.COMPACT_RUN_RECORDS) {
            throw new UnreadableRecord("version " + record.path(VERSION));
        }
        List<TaskState> lines = new ArrayList<>();
        for (Phase state : Phase.values()) {
            JsonNode groups = record.path(groupName(state));
            if (groups.isMissingNode()) {
                continue;
            }
            if (state != Phase.LIVE) {
                decodeRuns(groups, 0, state, new AgentIncarnation("", 0), lines);
                continue;
            }
            for (JsonNode group : groups) {
                if (!group.path(0).isTextual() || !group.path(1).isIntegralNumber()) {
                    throw new UnreadableRecord("a live group without machine and session");
                }
                AgentIncarnation session =
                        new AgentIncarnation(group.get(0).asText(), group.get(1).longValue());
                decodeRuns(group, LIVE_GROUP_HEADER_FIELDS, state, session, lines);
            }
        }
        lines.sort(Comparator.comparingInt(TaskState::task));
        return TaskState.encode(lines);
    }

    private static void decodeRuns(
            JsonNode group, int from, Phase state, AgentIncarnation session, List<TaskState> lines)
            throws UnreadableRecord {
        if (!group.isArray() || (group.size() - from) % RUN_FIELDS != 0) {
            throw new UnreadableRecord("a run that is cut off");
        }
        for (int i = from; i < group.size(); i += RUN_FIELDS) {
            int first = readCount(group.get(i));
            int count = readCount(group.get(i + 1));
            int attempt = readCount(group.get(i + 2));
            if (lines.size() + count > MAX_TASKS) {
                throw new UnreadableRecord("a run of " + count + " tasks");
            }
            for (int task = first; task < first + count; task++) {
                lines.add(
                        new TaskState(task, attempt, state, session.machine, session.incarnation));
            }
        }
    }

    private static int readCount(JsonNode value) throws UnreadableRecord {
        if (!value.isInt() || value.intValue() < 0) {
            throw new UnreadableRecord("a run with " + value);
        }
        return value.intValue();
    }
}
