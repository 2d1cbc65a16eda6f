package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.RunRecord.State;
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
    static final int LINES_FACTOR = 2;

    private static final String VERSION = "v";
    private static final String LIVE = "live";
    private static final int RUN_FIELDS = 3;

    /** In a group of live tasks: machine and session stand before the runs. */
    private static final int LIVE_FIELDS = 2;

    /** More tasks than any job has: a damaged count must not fill the heap. */
    private static final int MOST_LINES = 100_000;

    /** A value that is no record of this form. */
    static final class UnreadableRecord extends Exception {
        private static final long serialVersionUID = 1;

        UnreadableRecord(String why) {
            super(why);
        }
    }

    /** A live task's machine and session. */
    private record Session(String machine, long tenure) {}

    private CompactRunRecords() {}

    /** Encodes the lines of a record of the first form. */
    static JsonNode encode(JsonNode first) {
        List<RunRecord> lines = new ArrayList<>(RunRecord.read(first));
        lines.sort(Comparator.comparingInt(RunRecord::task));
        Map<Session, ArrayNode> live = new LinkedHashMap<>();
        ObjectNode record = Json.object().put(VERSION, StoredVersions.COMPACT_RUN_RECORDS);
        for (RunRecord line : lines) {
            if (line.state() == State.LIVE) {
                Session session = new Session(line.machine(), line.tenure());
                append(
                        live.computeIfAbsent(
                                session, s -> Json.array().add(s.machine).add(s.tenure)),
                        line,
                        LIVE_FIELDS);
            } else {
                append(record.withArray(name(line.state())), line, 0);
            }
        }
        if (!live.isEmpty()) {
            record.putArray(LIVE).addAll(live.values());
        }
        return record;
    }

    private static String name(State state) {
        return switch (state) {
            case GONE -> "gone";
            case LIVE -> LIVE;
            case DONE -> "done";
            case FAILED -> "failed";
        };
    }

    /** Lengthens the last run by the line's task, or begins another. */
    private static void append(ArrayNode group, RunRecord line, int before) {
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
        List<RunRecord> lines = new ArrayList<>();
        for (State state : State.values()) {
            JsonNode groups = record.path(name(state));
            if (groups.isMissingNode()) {
                continue;
            }
            if (state != State.LIVE) {
                addRuns(groups, 0, state, new Session("", 0), lines);
                continue;
            }
            for (JsonNode group : groups) {
                if (!group.path(0).isTextual() || !group.path(1).isIntegralNumber()) {
                    throw new UnreadableRecord("a live group without machine and session");
                }
                Session session = new Session(group.get(0).asText(), group.get(1).longValue());
                addRuns(group, LIVE_FIELDS, state, session, lines);
            }
        }
        lines.sort(Comparator.comparingInt(RunRecord::task));
        return RunRecord.write(lines);
    }

    private static void addRuns(
            JsonNode group, int from, State state, Session session, List<RunRecord> lines)
            throws UnreadableRecord {
        if (!group.isArray() || (group.size() - from) % RUN_FIELDS != 0) {
            throw new UnreadableRecord("a run that is cut off");
        }
        for (int i = from; i < group.size(); i += RUN_FIELDS) {
            int first = number(group.get(i));
            int count = number(group.get(i + 1));
            int attempt = number(group.get(i + 2));
            if (lines.size() + count > MOST_LINES) {
                throw new UnreadableRecord("a run of " + count + " tasks");
            }
            for (int task = first; task < first + count; task++) {
                lines.add(new RunRecord(task, attempt, state, session.machine, session.tenure));
            }
        }
    }

    private static int number(JsonNode value) throws UnreadableRecord {
        if (!value.isInt() || value.intValue() < 0) {
            throw new UnreadableRecord("a run with " + value);
        }
        return value.intValue();
    }
}
