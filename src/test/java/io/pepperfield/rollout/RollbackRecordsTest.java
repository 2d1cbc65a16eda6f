package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Run records in both formats, and their conversion by a rollback. */
class RollbackRecordsTest extends RolloutFixture {

    @Test
    void recordIsStoredInOneFormatAndRestoredByRollback() {
        leader.writeRunRecord(TASK_STATES);
        leader.sync();
        activate();
        leader.sync();
        leader.writeRunRecord(UPDATED_TASK_STATES);
        assertNull(store.get(RUN_RECORD_KEY));
        assertEquals(
                2, store.get(VersionedKeyValueStore.compactKey(RUN_RECORD_KEY)).path("v").asInt());
        syncAll();
        assertEquals(UPDATED_TASK_STATES, follower.values.get(RUN_RECORD_KEY));
        leader.sendCommand("rollback", "{}");
        advanceTime();
        assertEquals(UPDATED_TASK_STATES, store.get(RUN_RECORD_KEY));
        assertEquals(0, store.count(Keys.V2_RUN_RECORD_PREFIX));
        assertEquals(ClusterVersion.INITIAL, version());
        assertEquals(UPDATED_TASK_STATES, follower.values.get(RUN_RECORD_KEY));
    }

    @Test
    void recordOfUnknownVersionIsReportedUnreadableAndNotRewritten() {
        activate();
        JsonNode unknown = Json.object().put("v", 3);
        store.put(VersionedKeyValueStore.compactKey(RUN_RECORD_KEY), unknown);
        syncAll();
        assertEquals(TaskState.UNREADABLE_RECORD, leader.values.get(RUN_RECORD_KEY));
        leader.sendCommand("rollback", "{}");
        advanceTime();
        assertEquals(unknown, store.get(VersionedKeyValueStore.compactKey(RUN_RECORD_KEY)));
        assertEquals(ClusterVersion.Phase.ROLLING_BACK, version().phase());
    }

    @Test
    void rollbackRewritesRecordsWrittenAfterAnInterruptedRollback() {
        activate();
        for (int job = 1; job <= 6; job++) {
            assertInstanceOf(
                    CompareAndSwapOutcome.Committed.class,
                    leader.writeRunRecord(Keys.runRecord("run-00000" + job, 0), TASK_STATES));
        }
        syncAll();
        leader.sendCommand("rollback", "{}");
        leader.sync();
        assertEquals(
                2, store.count(Keys.V2_RUN_RECORD_PREFIX), "compact records not rewritten yet");
        assertEquals(200, leader.sendCommand("activate", ACTIVATE_BODY).status());
        syncAll();
        // Writes the record in the compact format again, before the scan position that the first
        // rollback had reached.
        assertInstanceOf(
                CompareAndSwapOutcome.Committed.class, leader.writeRunRecord(UPDATED_TASK_STATES));
        leader.sendCommand("rollback", "{}");
        advanceTime();
        assertEquals(0, store.count(Keys.V2_RUN_RECORD_PREFIX));
        assertEquals(UPDATED_TASK_STATES, store.get(RUN_RECORD_KEY));
        assertEquals(ClusterVersion.INITIAL, version());
    }

    private static List<TaskState> largeTaskStates() {
        List<TaskState> taskStates = new ArrayList<>();
        for (int task = 0; task < 100; task++) {
            taskStates.add(new TaskState(task, 1, TaskState.Phase.LIVE, "host-" + task / 2, 1));
        }
        return taskStates;
    }

    @Test
    void rollbackSplitsRecordTooLargeForVersionOne() {
        jobSpec = new JobSpecBuilder().id("run-000001").tasks(100).chunk(100).build();
        List<TaskState> taskStates = largeTaskStates();
        activate();
        leader.writeRunRecord(TaskState.encode(taskStates));
        leader.sync();
        leader.writeRunRecord(Keys.runRecord("run-000002", 0), TASK_STATES);
        leader.sync();
        store.maxValueBytes = 1024;
        leader.sendCommand("rollback", "{}");
        advanceTime();
        assertEquals(ClusterVersion.INITIAL, version());
        List<TaskState> found = new ArrayList<>();
        for (int part = 0; part < TaskState.SPLIT_PARTS; part++) {
            found.addAll(TaskState.decode(store.get(jobSpec.splitRecordKey(0, part))));
        }
        assertEquals(taskStates, found);
        assertEquals(TASK_STATES.toString(), store.get(Keys.runRecord("run-000002", 0)).toString());
    }

    @Test
    void recordThatCannotBeRewrittenDoesNotBlockOtherRecords() {
        activate();
        leader.writeRunRecord(TaskState.encode(largeTaskStates()));
        leader.sync();
        leader.writeRunRecord(Keys.runRecord("run-000002", 0), TASK_STATES);
        leader.sync();
        // The first record exceeds the limit, and cannot be split since its job's specification is
        // unknown.
        store.maxValueBytes = 1024;
        leader.sendCommand("rollback", "{}");
        advanceTime();
        assertEquals(
                TASK_STATES.toString(), String.valueOf(store.get(Keys.runRecord("run-000002", 0))));
        assertEquals(1, store.count(Keys.V2_RUN_RECORD_PREFIX));
        assertEquals(ClusterVersion.Phase.ROLLING_BACK, version().phase());
    }
}
