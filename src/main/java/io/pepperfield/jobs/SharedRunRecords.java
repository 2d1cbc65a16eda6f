package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Which small jobs share a durable run record. A swarm of jobs with a task each would otherwise
 * cost a change for each intent, and changes per second are the scarcest resource. A record whose
 * jobs are all over is used again.
 */
public final class SharedRunRecords {

    /** A job is small if so many like it fill a record. */
    private static final int MIN_JOBS_PER_RECORD = 16;

    private final FencingToken fencingToken;
    private final int maxTasks;
    private final Map<String, Map<String, Job>> jobsByRecord = new HashMap<>();
    private final Map<String, String> recordByJob = new HashMap<>();
    private final ArrayDeque<String> emptyRecords = new ArrayDeque<>();

    /** The records among which a record that had become too large is divided. */
    private final Map<String, List<String>> partsByRecord = new HashMap<>();

    /** Of each job in a divided record, the part that holds it. */
    private final Map<String, String> partByJob = new HashMap<>();

    private String openRecord = "";
    private int openRecordTasks;
    private int sequence;

    /**
     * @param token of the leadership: no record's name is ever chosen by two leaders
     * @param mostTasks of all jobs in a record: an intent is guarded by the final state of its job,
     *     and guards are limited
     */
    public SharedRunRecords(FencingToken token, int mostTasks) {
        this.fencingToken = token;
        this.maxTasks = mostTasks;
    }

    /** A record of an earlier leader with those of its jobs that are not over. */
    public void restore(String key, Collection<String> ids, Map<String, Job> jobs) {
        Map<String, Job> inside = jobsByRecord.computeIfAbsent(key, k -> new LinkedHashMap<>());
        ids.forEach(
                id -> {
                    Job job = jobs.get(id);
                    if (job != null) {
                        inside.put(id, job);
                        recordByJob.put(id, key);
                    }
                });
        if (inside.isEmpty()) {
            emptyRecords.add(key);
        }
    }

    /**
     * The record that the job shares, or null where it has its own; {@code begun}: it has run
     * records of its own already.
     */
    public String recordKeyFor(Job job, boolean begun) {
        String known = recordByJob.get(job.spec.id());
        if (known != null
                || begun
                || job.spec.isService()
                || job.spec.tasks() * MIN_JOBS_PER_RECORD > job.spec.tasksPerRunRecord()) {
            return known;
        }
        if (openRecord.isEmpty()
                || openRecordTasks + job.spec.tasks()
                        > Math.min(maxTasks, job.spec.tasksPerRunRecord())) {
            if (jobsByRecord.containsKey(openRecord) && jobsByRecord.get(openRecord).isEmpty()) {
                emptyRecords.add(openRecord);
            }
            openRecord = emptyRecords.isEmpty() ? newRecordKey() : emptyRecords.poll();
            openRecordTasks = 0;
        }
        openRecordTasks += job.spec.tasks();
        jobsByRecord
                .computeIfAbsent(openRecord, k -> new LinkedHashMap<>())
                .put(job.spec.id(), job);
        recordByJob.put(job.spec.id(), openRecord);
        return openRecord;
    }

    /**
     * The job is over and nothing of it may be alive: its lines are left out from the next writing
     * on.
     */
    public void remove(String id) {
        String key = recordByJob.remove(id);
        partByJob.remove(id);
        if (key != null
                && jobsByRecord.get(key).remove(id) != null
                && jobsByRecord.get(key).isEmpty()
                && !key.equals(openRecord)
                && !partsByRecord.containsKey(key)) {
            emptyRecords.add(key);
        }
    }

    /** The jobs in a record that are not over. */
    public Collection<Job> jobs(String key) {
        return jobsByRecord.get(key).values();
    }

    /**
     * The record has become too large for the state service: its jobs are divided among new records
     * of this leader's, which are written together with it from now on, so that no line is ever
     * missing or in two of them. False where that is not possible.
     */
    public boolean split(String key) {
        Collection<Job> jobs = jobs(key);
        if (partsByRecord.containsKey(key) || jobs.size() < 2) {
            return false;
        }
        List<String> parts = new ArrayList<>(List.of(key));
        while (parts.size() < Math.min(TaskState.SPLIT_PARTS, jobs.size())) {
            parts.add(newRecordKey());
        }
        partsByRecord.put(key, parts);
        int place = 0;
        for (Job job : jobs) {
            partByJob.put(job.spec.id(), parts.get(place++ * parts.size() / jobs.size()));
        }
        if (key.equals(openRecord)) {
            // Nothing more is added to it.
            openRecord = "";
        }
        return true;
    }

    private String newRecordKey() {
        return Keys.SHARED_RUN_RECORD_PREFIX + fencingToken.value() + "-" + ++sequence;
    }

    /**
     * What the record is to hold now, and its parts. The record comes first: what it leaves out is
     * found in a part afterwards.
     */
    public Map<String, JsonNode> encodeRecord(String key, Function<Job, List<TaskState>> lines) {
        Map<String, JsonNode> values = new LinkedHashMap<>();
        partsByRecord
                .getOrDefault(key, List.of(key))
                .forEach(part -> values.put(part, Json.object()));
        for (Job job : jobs(key)) {
            String part = partByJob.getOrDefault(job.spec.id(), key);
            ((ObjectNode) values.get(part)).set(job.spec.id(), TaskState.encode(lines.apply(job)));
        }
        return values;
    }
}
