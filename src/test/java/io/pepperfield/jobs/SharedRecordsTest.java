package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.store.Keys;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Swarms of small jobs share their run records. */
class SharedRecordsTest {

    private static final int CHUNK = 32;

    private static Job job(int number, int tasks) {
        return new Job(spec(number, tasks), 0);
    }

    private static JobSpec spec(int number, int tasks) {
        return new JobSpecBuilder()
                .id(String.format("run-%06d", number))
                .rank(JobSpec.Rank.BEST_EFFORT)
                .tasks(tasks)
                .spot(true)
                .chunk(CHUNK)
                .build();
    }

    private static List<RunRecord> live(Job job) {
        return List.of(new RunRecord(0, 1, RunRecord.State.LIVE, "m1", 1));
    }

    @Test
    void aSwarmCostsAKeyForEachChunkOfIt() {
        SharedRecords records = new SharedRecords(7, 2 * CHUNK);
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < 4 * CHUNK; i++) {
            keys.add(records.keyOf(job(i, 1), false));
        }
        assertEquals(4, keys.size());
        assertNull(records.keyOf(job(500, CHUNK), false), "a large job has chunks of its own");
        assertNull(records.keyOf(job(501, 1), true), "and so has one that began with them");
    }

    @Test
    void whatIsOverIsLeftOutAndItsRecordUsedAgain() {
        SharedRecords records = new SharedRecords(7, 2 * CHUNK);
        String first = records.keyOf(job(0, 1), false);
        for (int i = 1; i <= CHUNK; i++) {
            records.keyOf(job(i, 1), false);
        }
        records.over("run-000003");
        assertEquals(CHUNK - 1, records.content(first, SharedRecordsTest::live).get(first).size());
        for (int i = 0; i < CHUNK; i++) {
            records.over(String.format("run-%06d", i));
        }
        Set<String> keys = new HashSet<>();
        for (int i = 100; i < 100 + 2 * CHUNK; i++) {
            keys.add(records.keyOf(job(i, 1), false));
        }
        assertEquals(3, keys.size());
        assertEquals(true, keys.contains(first));
    }

    @Test
    void theNextLeaderFindsEachJobInItsRecordAndNothingOfThoseLeftOut() {
        Catalog catalog = new Catalog(() -> 0);
        Map<String, Job> jobs = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            catalog.changed(Keys.JOB + spec(i, 1).id(), JobMessages.durable(spec(i, 1)));
            jobs.put(spec(i, 1).id(), job(i, 1));
        }
        String key = Keys.SHARED + "7-1";
        JsonNode both =
                Json.read(
                        "{\"run-000000\":[[0,1,1,\"m1\",1]],\"run-000001\":[[0,1,1,\"m2\",1]]}"
                                .getBytes());
        catalog.changed(key, both);
        assertEquals("running", catalog.get("run-000000").answer().path("status").asText());
        // Left out once it was over: a line that stayed would be an attempt on a machine long gone.
        catalog.changed(key, Json.read("{\"run-000001\":[[0,1,1,\"m2\",1]]}".getBytes()));
        assertEquals(0, catalog.get("run-000000").lines().size());
        assertEquals(1, catalog.get("run-000001").lines().size());
        SharedRecords next = new SharedRecords(9, 2 * CHUNK);
        next.restore(key, catalog.shared().get(key), jobs);
        assertEquals(key, next.keyOf(jobs.get("run-000001"), false));
        assertEquals(Keys.SHARED + "9-1", next.keyOf(jobs.get("run-000002"), false));
    }

    @Test
    void aRecordThatHasBecomeTooLargeIsDividedAndNoLineIsEverMissing() {
        SharedRecords records = new SharedRecords(9, 2 * CHUNK);
        Map<String, Job> jobs = new LinkedHashMap<>();
        Catalog catalog = new Catalog(() -> 0);
        for (int i = 0; i < 10; i++) {
            jobs.put(spec(i, 1).id(), job(i, 1));
            catalog.changed(Keys.JOB + spec(i, 1).id(), JobMessages.durable(spec(i, 1)));
        }
        String old = Keys.SHARED + "7-1";
        records.restore(old, jobs.keySet(), jobs);
        Map<String, JsonNode> whole = records.content(old, SharedRecordsTest::live);
        assertEquals(Set.of(old), whole.keySet());
        catalog.changed(old, whole.get(old));
        assertTrue(records.divide(old));
        Map<String, JsonNode> parts = records.content(old, SharedRecordsTest::live);
        assertEquals(RunRecord.PARTS, parts.size());
        assertTrue(parts.values().stream().allMatch(part -> part.size() <= 3), parts.toString());
        assertEquals(10, parts.values().stream().mapToInt(JsonNode::size).sum());
        // A reading in pages may bring the new records before the one that they are taken from.
        parts.keySet().stream()
                .sorted(Comparator.reverseOrder())
                .forEach(key -> catalog.changed(key, parts.get(key)));
        jobs.keySet().forEach(id -> assertEquals(1, catalog.get(id).lines().size(), id));
        records.over("run-000009");
        catalog.changed(old, records.content(old, SharedRecordsTest::live).get(old));
        parts.keySet()
                .forEach(
                        key ->
                                catalog.changed(
                                        key,
                                        records.content(old, SharedRecordsTest::live).get(key)));
        assertEquals(0, catalog.get("run-000009").lines().size());
        assertEquals(1, catalog.get("run-000008").lines().size());
        assertFalse(records.divide(old), "divided once");
    }

    @Test
    void theNewerOfTwoLinesOfATaskCounts() {
        Catalog catalog = new Catalog(() -> 0);
        JobSpec spec = spec(1, CHUNK);
        catalog.changed(Keys.JOB + spec.id(), JobMessages.durable(spec));
        // A divided record, of which an older version has written the first part whole again.
        catalog.changed(
                Keys.run(spec.id(), 1),
                Json.read(
                        "[[8,1,1,\"m1\",1],[9,2,2],[10,1,1,\"m1\",1],[11,3,0],[12,1,0]]"
                                .getBytes()));
        catalog.changed(
                Keys.run(spec.id(), 0),
                Json.read(
                        "[[8,2,1,\"m2\",1],[9,1,1,\"m1\",1],[10,1,0],[11,2,3],[12,1,1,\"m1\",1]]"
                                .getBytes()));
        Map<Integer, RunRecord> lines = new HashMap<>();
        catalog.get(spec.id()).lines().forEach(line -> lines.put(line.task(), line));
        assertEquals(new RunRecord(8, 2, RunRecord.State.LIVE, "m2", 1), lines.get(8));
        assertEquals(RunRecord.State.DONE, lines.get(9).state());
        assertEquals(RunRecord.State.GONE, lines.get(10).state());
        assertEquals(3, lines.get(11).attempt());
        assertEquals(RunRecord.State.GONE, lines.get(12).state());
    }
}
