package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.store.Keys;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Small jobs share their run records. */
class SharedRunRecordsTest {

    private static final int TASKS_PER_RECORD = 32;

    private static Job job(int number, int tasks) {
        return new Job(spec(number, tasks), 0);
    }

    private static JobSpec spec(int number, int tasks) {
        return new JobSpecBuilder()
                .id(String.format(Locale.ROOT, "run-%06d", number))
                .rank(JobSpec.Priority.BEST_EFFORT)
                .tasks(tasks)
                .spot(true)
                .chunk(TASKS_PER_RECORD)
                .build();
    }

    private static List<TaskState> liveTask(Job job) {
        return List.of(new TaskState(0, 1, TaskState.Phase.LIVE, "m1", 1));
    }

    @Test
    void manySmallJobsNeedOneKeyPerFullRecord() {
        SharedRunRecords records = new SharedRunRecords(new FencingToken(7), 2 * TASKS_PER_RECORD);
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < 4 * TASKS_PER_RECORD; i++) {
            keys.add(records.recordKeyFor(job(i, 1), false).orElseThrow());
        }
        assertEquals(4, keys.size());
        assertEquals(
                Optional.empty(),
                records.recordKeyFor(job(500, TASKS_PER_RECORD), false),
                "a large job has records of its own");
        assertEquals(
                Optional.empty(),
                records.recordKeyFor(job(501, 1), true),
                "a job that already has records of its own keeps them");
    }

    @Test
    void endedJobsAreOmittedAndTheirRecordIsReused() {
        SharedRunRecords records = new SharedRunRecords(new FencingToken(7), 2 * TASKS_PER_RECORD);
        String first = records.recordKeyFor(job(0, 1), false).orElseThrow();
        for (int i = 1; i <= TASKS_PER_RECORD; i++) {
            assertTrue(records.recordKeyFor(job(i, 1), false).isPresent());
        }
        records.remove("run-000003");
        assertEquals(
                TASKS_PER_RECORD - 1,
                records.encodeRecord(first, SharedRunRecordsTest::liveTask).get(first).size());
        for (int i = 0; i < TASKS_PER_RECORD; i++) {
            records.remove(String.format(Locale.ROOT, "run-%06d", i));
        }
        Set<String> keys = new HashSet<>();
        for (int i = 100; i < 100 + 2 * TASKS_PER_RECORD; i++) {
            keys.add(records.recordKeyFor(job(i, 1), false).orElseThrow());
        }
        assertEquals(3, keys.size());
        assertEquals(true, keys.contains(first));
    }

    @Test
    void theNextLeaderRestoresJobsFromTheirRecordsWithoutOmittedOnes() {
        JobIndex jobIndex = new JobIndex(() -> 0);
        Map<String, Job> jobs = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            jobIndex.applyChange(
                    Keys.JOB_PREFIX + spec(i, 1).id(), JobCodec.encodeSpec(spec(i, 1)));
            jobs.put(spec(i, 1).id(), job(i, 1));
        }
        String key = Keys.SHARED_RUN_RECORD_PREFIX + "7-1";
        JsonNode twoJobs =
                Json.read(
                        "{\"run-000000\":[[0,1,1,\"m1\",1]],\"run-000001\":[[0,1,1,\"m2\",1]]}"
                                .getBytes(StandardCharsets.UTF_8));
        jobIndex.applyChange(key, twoJobs);
        assertEquals("running", jobIndex.get("run-000000").statusAnswer().path("status").asText());
        // Omitted after the job ended: a remaining task state would be restored as a live attempt
        // on a machine that no longer exists.
        jobIndex.applyChange(
                key,
                Json.read("{\"run-000001\":[[0,1,1,\"m2\",1]]}".getBytes(StandardCharsets.UTF_8)));
        assertEquals(0, jobIndex.get("run-000000").taskStates().size());
        assertEquals(1, jobIndex.get("run-000001").taskStates().size());
        SharedRunRecords next = new SharedRunRecords(new FencingToken(9), 2 * TASKS_PER_RECORD);
        next.restore(key, jobIndex.jobsBySharedRecord().get(key), jobs);
        assertEquals(key, next.recordKeyFor(jobs.get("run-000001"), false).orElseThrow());
        assertEquals(
                Keys.SHARED_RUN_RECORD_PREFIX + "9-1",
                next.recordKeyFor(jobs.get("run-000002"), false).orElseThrow());
    }

    @Test
    void anOversizedRecordIsSplitWithoutLosingATaskState() {
        SharedRunRecords records = new SharedRunRecords(new FencingToken(9), 2 * TASKS_PER_RECORD);
        Map<String, Job> jobs = new LinkedHashMap<>();
        JobIndex jobIndex = new JobIndex(() -> 0);
        for (int i = 0; i < 10; i++) {
            jobs.put(spec(i, 1).id(), job(i, 1));
            jobIndex.applyChange(
                    Keys.JOB_PREFIX + spec(i, 1).id(), JobCodec.encodeSpec(spec(i, 1)));
        }
        String old = Keys.SHARED_RUN_RECORD_PREFIX + "7-1";
        records.restore(old, jobs.keySet(), jobs);
        Map<String, JsonNode> whole = records.encodeRecord(old, SharedRunRecordsTest::liveTask);
        assertEquals(Set.of(old), whole.keySet());
        jobIndex.applyChange(old, whole.get(old));
        assertTrue(records.split(old));
        Map<String, JsonNode> parts = records.encodeRecord(old, SharedRunRecordsTest::liveTask);
        assertEquals(TaskState.SPLIT_PARTS, parts.size());
        assertTrue(parts.values().stream().allMatch(part -> part.size() <= 3), parts.toString());
        assertEquals(10, parts.values().stream().mapToInt(JsonNode::size).sum());
        // A paged read may return the new parts before the record that was split.
        parts.keySet().stream()
                .sorted(Comparator.reverseOrder())
                .forEach(key -> jobIndex.applyChange(key, parts.get(key)));
        jobs.keySet().forEach(id -> assertEquals(1, jobIndex.get(id).taskStates().size(), id));
        records.remove("run-000009");
        jobIndex.applyChange(
                old, records.encodeRecord(old, SharedRunRecordsTest::liveTask).get(old));
        parts.keySet()
                .forEach(
                        key ->
                                jobIndex.applyChange(
                                        key,
                                        records.encodeRecord(old, SharedRunRecordsTest::liveTask)
                                                .get(key)));
        assertEquals(0, jobIndex.get("run-000009").taskStates().size());
        assertEquals(1, jobIndex.get("run-000008").taskStates().size());
        assertFalse(records.split(old), "a record is split at most once");
    }

    @Test
    void theNewerOfTwoStatesOfATaskIsReturned() {
        JobIndex jobIndex = new JobIndex(() -> 0);
        JobSpec spec = spec(1, TASKS_PER_RECORD);
        jobIndex.applyChange(Keys.JOB_PREFIX + spec.id(), JobCodec.encodeSpec(spec));
        // A split record whose first key an older version has written as a whole again.
        jobIndex.applyChange(
                Keys.runRecord(spec.id(), 1),
                Json.read(
                        "[[8,1,1,\"m1\",1],[9,2,2],[10,1,1,\"m1\",1],[11,3,0],[12,1,0]]"
                                .getBytes(StandardCharsets.UTF_8)));
        jobIndex.applyChange(
                Keys.runRecord(spec.id(), 0),
                Json.read(
                        "[[8,2,1,\"m2\",1],[9,1,1,\"m1\",1],[10,1,0],[11,2,3],[12,1,1,\"m1\",1]]"
                                .getBytes(StandardCharsets.UTF_8)));
        Map<Integer, TaskState> newestStates = new HashMap<>();
        jobIndex.get(spec.id())
                .taskStates()
                .forEach(state -> newestStates.put(state.task(), state));
        assertEquals(new TaskState(8, 2, TaskState.Phase.LIVE, "m2", 1), newestStates.get(8));
        assertEquals(TaskState.Phase.DONE, newestStates.get(9).phase());
        assertEquals(TaskState.Phase.GONE, newestStates.get(10).phase());
        assertEquals(3, newestStates.get(11).attempt());
        assertEquals(TaskState.Phase.GONE, newestStates.get(12).phase());
    }
}
