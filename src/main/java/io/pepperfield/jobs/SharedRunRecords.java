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
 * Assigns small jobs to shared run records. Without sharing, many single-task jobs would cost one
 * mutation per intent, and mutations per second are the scarcest resource. A record is reused once
 * all its jobs have ended. Maintained by the leader, on the event loop's thread.
 */
public final class SharedRunRecords {

    /** A job is small if at least this many jobs of its size fit into one record. */
    private static final int MIN_JOBS_PER_RECORD = 16;

    private final FencingToken fencingToken;
    private final int maxTasks;
    private final Map<String, Map<String, Job>> jobsByRecord = new HashMap<>();
    private final Map<String, String> recordByJob = new HashMap<>();
    private final ArrayDeque<String> emptyRecords = new ArrayDeque<>();

    /** For each split record, the keys of the parts among which its jobs are distributed. */
    private final Map<String, List<String>> partsByRecord = new HashMap<>();

    /** For each job in a split record, the key of the part that contains it. */
    private final Map<String, String> partByJob = new HashMap<>();

    private String openRecord = "";
    private int openRecordTasks;
    private int sequence;

    /**
     * @param fencingToken the leader's fencing token, which makes record keys unique across leaders
     * @param maxTasks maximum number of tasks of all jobs in a record. An intent has the absence of
     *     its job's final state as a precondition, and the number of preconditions is limited
     */
    public SharedRunRecords(FencingToken fencingToken, int maxTasks) {
        this.fencingToken = fencingToken;
        this.maxTasks = maxTasks;
    }

    /**
     * Restores a record written by an earlier leader.
     *
     * @param ids the jobs in the record
     * @param jobs all tracked jobs by id; other jobs in the record are left out
     */
    public void restore(String key, Collection<String> ids, Map<String, Job> jobs) {
        Map<String, Job> contained = jobsByRecord.computeIfAbsent(key, k -> new LinkedHashMap<>());
        for (String id : ids) {
            Job job = jobs.get(id);
            if (job != null) {
                contained.put(id, job);
                recordByJob.put(id, key);
            }
        }
        if (contained.isEmpty()) {
            emptyRecords.add(key);
        }
    }

    /**
     * Returns the key of the job's shared record, assigning one if necessary; empty if the job uses
     * records of its own.
     *
     * @param hasOwnRecords whether the job already has run records of its own
     */
    public Optional<String> recordKeyFor(Job job, boolean hasOwnRecords) {
        String sharedKey = recordByJob.get(job.spec.id());
        if (sharedKey != null || hasOwnRecords || !isSmall(job.spec)) {
            return Optional.ofNullable(sharedKey);
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
     * Removes a job that has ended and has no live attempts. Its task states are omitted from the
     * next write on.
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

    /** The jobs in a record that have not been removed. */
    public Collection<Job> jobs(String key) {
        return jobsByRecord.get(key).values();
    }

    /**
     * Splits a record that has become too large for the state service. Its jobs are distributed
     * among the record and new records of this leader, which from then on are written in the same
     * transaction, so that no task state is ever missing or duplicated.
     *
     * @return false if the record cannot be split because it is split already or has fewer than two
     *     jobs
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
        int index = 0;
        for (Job job : jobs) {
            partByJob.put(job.spec.id(), parts.get(index++ * parts.size() / jobs.size()));
        }
        if (key.equals(openRecord)) {
            // No further jobs are added to a split record.
            openRecord = "";
        }
        return true;
    }

    private String newRecordKey() {
        return Keys.SHARED_RUN_RECORD_PREFIX + fencingToken.value() + "-" + ++sequence;
    }

    /**
     * Encodes the current contents of a record and of its parts, by key. The record itself comes
     * first, so that a reader finds the jobs that it omits in one of the following parts.
     *
     * @param taskStates returns the states of a job's tasks
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
