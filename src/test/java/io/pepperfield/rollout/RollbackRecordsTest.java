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

/** Run records in both forms, and how a rollback rewrites them. */
class RollbackRecordsTest extends RolloutFixture {

    @Test
    void aRecordIsInOneFormAndComesBackAsItWas() {
        leader.write(LINES);
        leader.hear();
        activate();
        leader.hear();
        leader.write(LATER);
        assertNull(state.get(RECORD));
        assertEquals(2, state.get(VersionedKeyValueStore.compactKey(RECORD)).path("v").asInt());
        hearAll();
        assertEquals(LATER, other.seen.get(RECORD));
        leader.command("rollback", "{}");
        passTime();
        assertEquals(LATER, state.get(RECORD));
        assertEquals(0, state.count(Keys.V2_RUN_RECORD_PREFIX));
        assertEquals(ClusterVersion.INITIAL, version());
        assertEquals(LATER, other.seen.get(RECORD));
    }

    @Test
    void aRecordOfAnotherVersionIsPassedOnAsSuchAndNeverRewritten() {
        activate();
        JsonNode unknown = Json.object().put("v", 3);
        state.put(VersionedKeyValueStore.compactKey(RECORD), unknown);
        hearAll();
        assertEquals(TaskState.UNREADABLE_RECORD, leader.seen.get(RECORD));
        leader.command("rollback", "{}");
        passTime();
        assertEquals(unknown, state.get(VersionedKeyValueStore.compactKey(RECORD)));
        assertEquals(ClusterVersion.Phase.ROLLING_BACK, version().phase());
    }

    @Test
    void recordsWrittenSinceAnUnfinishedRollbackAreFoundByTheNext() {
        activate();
        for (int job = 1; job <= 6; job++) {
            assertInstanceOf(
                    CompareAndSwapOutcome.Committed.class,
                    leader.write(Keys.runRecord("run-00000" + job, 0), LINES));
        }
        hearAll();
        leader.command("rollback", "{}");
        leader.hear();
        assertEquals(2, state.count(Keys.V2_RUN_RECORD_PREFIX), "not rewritten yet");
        assertEquals(200, leader.command("activate", ACTIVATE).status());
        hearAll();
        // Compact once more, before the place that the rewriting had reached.
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, leader.write(LATER));
        leader.command("rollback", "{}");
        passTime();
        assertEquals(0, state.count(Keys.V2_RUN_RECORD_PREFIX));
        assertEquals(LATER, state.get(RECORD));
        assertEquals(ClusterVersion.INITIAL, version());
    }

    private static List<TaskState> longLines() {
        List<TaskState> lines = new ArrayList<>();
        for (int task = 0; task < 100; task++) {
            lines.add(new TaskState(task, 1, TaskState.Phase.LIVE, "host-" + task / 2, 1));
        }
        return lines;
    }

    @Test
    void aRecordThatNoLongerFitsInTheFirstFormIsDivided() {
        spec = new JobSpecBuilder().id("run-000001").tasks(100).chunk(100).build();
        List<TaskState> lines = longLines();
        activate();
        leader.write(TaskState.encode(lines));
        leader.hear();
        leader.write(Keys.runRecord("run-000002", 0), LINES);
        leader.hear();
        state.maxValueBytes = 1024;
        leader.command("rollback", "{}");
        passTime();
        assertEquals(ClusterVersion.INITIAL, version());
        List<TaskState> found = new ArrayList<>();
        for (int part = 0; part < TaskState.SPLIT_PARTS; part++) {
            found.addAll(TaskState.decode(state.get(spec.splitRecordKey(0, part))));
        }
        assertEquals(lines, found);
        assertEquals(LINES.toString(), state.get(Keys.runRecord("run-000002", 0)).toString());
    }

    @Test
    void aRecordThatCannotBeRewrittenKeepsNoOtherFromIt() {
        activate();
        leader.write(TaskState.encode(longLines()));
        leader.hear();
        leader.write(Keys.runRecord("run-000002", 0), LINES);
        leader.hear();
        // It does not fit any more, and its job, which says how to divide it, is not known.
        state.maxValueBytes = 1024;
        leader.command("rollback", "{}");
        passTime();
        assertEquals(LINES.toString(), String.valueOf(state.get(Keys.runRecord("run-000002", 0))));
        assertEquals(1, state.count(Keys.V2_RUN_RECORD_PREFIX));
        assertEquals(ClusterVersion.Phase.ROLLING_BACK, version().phase());
    }
}
