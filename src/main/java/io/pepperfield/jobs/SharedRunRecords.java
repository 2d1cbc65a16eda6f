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
import java.util.Optional;
import java.util.function.Function;

/**
 * Which small jobs share a stored run record. A swarm of jobs with a task each would otherwise cost
 * a mutation for each intent, and mutations per second are the scarcest resource. A record whose
 * jobs are all over is used again. Kept by the leader, on the event loop's thread.
 */
public final class SharedRunRecords {

    /** A job is small if so many like it fill a record. */
    private static final int MIN_JOBS_PER_RECORD = 16;

    private final FencingToken fencingToken;
    private final int maxTasks;
    private final Map<String, Map<String, Job>> jobsByRecord = new HashMap<>();
    private final Map<String, String> recordByJob = new HashMap<>();
    private final ArrayDeque<String> emptyRecords = new ArrayDeque<>();

    /** The records among which a record that had become too large is split. */
    private final Map<String, List<String>> partsByRecord = new HashMap<>();

    /** Of each job in a split record, the part that holds it. */
    private final Map<String, String> partByJob = new HashMap<>();

    private String openRecord = "";
    private int openRecordTasks;
    private int sequence;

    /**
     * @param fencingToken of the leadership: no record's name is ever chosen by two leaders
     * @param maxTasks of all jobs in a record: the absence of its job's final state is a
     *     precondition of an intent, and preconditions are limited
     */
    public SharedRunRecords(FencingToken fencingToken, int maxTasks) {
        this.fencingToken = fencingToken;
        this.maxTasks = maxTasks;
    }

    /**
     * Takes over a record of an earlier leader.
     *
     * @param ids the jobs that the record holds
     * @param jobs all jobs that are not over, by id
     */
    public void restore(String key, Collection<String> ids, Map<String, Job> jobs) {
        Map<String, Job> held = jobsByRecord.computeIfAbsent(key, k -> new LinkedHashMap<>());
        for (String id : ids) {
            Job job = jobs.get(id);
            if (job != null) {
                held.put(id, job);
                recordByJob.put(id, key);
            }
        }
        if (held.isEmpty()) {
            emptyRecords.add(key);
        }
    }

    /**
     * The key of the record that the job shares; empty where the job has records of its own.
     *
     * @param begun whether the job has run records of its own already
     */
    public Optional<String> recordKeyFor(Job job, boolean begun) {
        String known = recordByJob.get(job.spec.id());
        if (known != null || begun || !isSmall(job.spec)) {
            return Optional.ofNullable(known);
        }
        if (!hasRoomFor(job.spec)) {
            openNextRecord();
        }
        openRecordTasks += job.spec.tasks();
        jobsByRecord
                .computeIfAbsent(openRecord, k -> new LinkedHashMap<>())
                .put(job.spec.id(), job);
        recordByJob.put(job.spec.id(), openRecord);
        return Optional.of(openRecord);
    }

    private static boolean isSmall(JobSpec spec) {
        return !spec.isService() && spec.tasks() * MIN_JOBS_PER_RECORD <= spec.tasksPerRunRecord();
    }

    private boolean hasRoomFor(JobSpec spec) {
        int limit = Math.min(maxTasks, spec.tasksPerRunRecord());
        return !openRecord.isEmpty() && openRecordTasks + spec.tasks() <= limit;
    }

    private void openNextRecord() {
        if (jobsByRecord.containsKey(openRecord) && jobsByRecord.get(openRecord).isEmpty()) {
            emptyRecords.add(openRecord);
        }
        openRecord = emptyRecords.isEmpty() ? newRecordKey() : emptyRecords.poll();
        openRecordTasks = 0;
    }

    /**
     * The job is over and nothing of it may be alive: its task states are left out from the next
     * write on.
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
     * The record has become too large for the state service: its jobs are split among new records
     * of this leader's, which are written together with it from now on, so that no task state is
     * ever missing or in two of them.
     *
     * @return false where that is not possible
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
     *
     * @param taskStates gives the states of a job's tasks
     */
    public Map<String, JsonNode> encodeRecord(
            String key, Function<Job, List<TaskState>> taskStates) {
        Map<String, JsonNode> values = new LinkedHashMap<>();
        partsByRecord
                .getOrDefault(key, List.of(key))
                .forEach(part -> values.put(part, Json.object()));
        for (Job job : jobs(key)) {
            String part = partByJob.getOrDefault(job.spec.id(), key);
            ((ObjectNode) values.get(part))
                    .set(job.spec.id(), TaskState.encode(taskStates.apply(job)));
        }
        return values;
    }
}
