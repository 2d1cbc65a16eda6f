package io.pepperfield.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.standin.SimulatedRegion;
import java.util.List;
import org.junit.jupiter.api.Test;

/** By which rank and since when the jobs of a pipeline wait, also under the next leader. */
class PipelineQueueTest {

    private final SimulatedRegion region = new SimulatedRegion(31);

    /** What the leader shows of a job that waits. */
    private JsonNode waiting(String job) {
        return Json.read(
                        region.directRequests
                                .answer(region.leaderIndex(), "GET", "/api/nodes")
                                .body())
                .path("waiting")
                .valueStream()
                .filter(line -> line.path("job").asText().equals(job))
                .findFirst()
                .orElseThrow();
    }

    private JsonNode job(String id) {
        return job(1, id);
    }

    private JsonNode job(int node, String id) {
        return Json.read(region.directRequests.answer(node, "GET", "/api/jobs/" + id).body());
    }

    private boolean waits(int node, String job) {
        return Json.read(region.directRequests.answer(node, "GET", "/api/nodes").body())
                .path("waiting")
                .valueStream()
                .anyMatch(line -> line.path("job").asText().equals(job));
    }

    private void run(double seconds) {
        region.world.run(region.world.now() + seconds);
    }

    private void changeLeader() {
        String before = region.leader();
        region.faults.crash(region.leaderIndex(), 20);
        run(6);
        assertNotEquals(before, region.leader());
    }

    @Test
    void aRankThatWasRaisedFallsBackAndIsTheSameUnderTheNextLeader() {
        run(8);
        // The team's whole limit for as long as this takes.
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        run(20);
        region.pipelines.submitArray(2, "best_effort", 1, 2, 5);
        run(1);
        region.pipelines.submitArray(3, "urgent", 1, 2, 5, 2);
        region.pipelines.submitArray(4, "standard", 1, 2, 5, 2);
        run(1);
        assertEquals("urgent", waiting("run-000002").path("rank").asText());
        assertEquals("waits for run-000002", waiting("run-000003").path("why").asText());
        assertEquals("run-000002", job("run-000003").path("waitsFor").path(0).asText());
        region.pipelines.cancel(3);
        run(1);
        assertEquals("standard", waiting("run-000002").path("rank").asText());
        changeLeader();
        assertEquals("standard", waiting("run-000002").path("rank").asText());
        region.pipelines.cancel(4);
        run(1);
        assertEquals("best_effort", waiting("run-000002").path("rank").asText());
        assertEquals(List.of(), region.violations);
    }

    @Test
    void aJobWaitsSinceTheLastOneThatItNeedsWasDoneAlsoForTheNextLeader() {
        run(8);
        region.pipelines.submitArray(2, "production", 1, 2, 10);
        run(1);
        region.pipelines.submitArray(3, "urgent", 1, 4, 5, 2);
        // Takes whatever room there is before the job of the lower rank.
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        while (!job("run-000002").path("status").asText().equals("done")) {
            assertTrue(region.world.now() < 100, "not done");
            run(0.5);
        }
        double done = region.world.now();
        run(5);
        double waited = waiting("run-000003").path("waitedS").asDouble();
        assertEquals(region.world.now() - done, waited, 2);
        changeLeader();
        assertEquals(
                region.world.now() - done, waiting("run-000003").path("waitedS").asDouble(), 2);
        assertEquals(List.of(), region.violations);
    }

    @Test
    void aLeaderWithoutTheStateServiceIsToldOfACancellationAndActsOnItsDependantsToo() {
        run(8);
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        run(20);
        region.pipelines.submitArray(2, "best_effort", 1, 2, 5);
        run(1);
        region.pipelines.submitArray(3, "standard", 1, 2, 5, 2);
        run(1);
        region.pipelines.submitArray(4, "standard", 1, 2, 5, 3);
        run(1);
        int leader = region.leaderIndex();
        assertTrue(waits(leader, "run-000002") && waits(leader, "run-000004"));
        region.world.cut("node-" + leader, "10.2.0.1", region.world.now() + 2);
        // Answered by another, whose word reaches the leader directly.
        region.pipelines.cancel(2, (leader + 1) % 3);
        run(0.5);
        assertEquals(leader, region.leaderIndex());
        for (String lost : List.of("run-000002", "run-000003", "run-000004")) {
            assertFalse(waits(leader, lost), lost);
            assertEquals("cancelled", job(leader, lost).path("status").asText());
        }
        run(30);
        assertEquals(List.of(), region.violations);
    }

    /** Derived at every node: the state service takes one change, and nobody has to be asked. */
    @Test
    void aFanAndAChainOfHundredsAreCancelledWithOneChange() {
        int each = 200;
        run(8);
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        run(20);
        region.pipelines.submitArray(2, "best_effort", 1, 2, 5);
        run(1);
        for (int i = 0; i < each; i++) {
            region.pipelines.submitArray(1000 + i, "standard", 1, 2, 5, 2);
            region.pipelines.submitArray(3000 + i, "standard", 1, 2, 5, i == 0 ? 2 : 2999 + i);
            run(0.2);
        }
        run(5);
        assertEquals(2 * each + 2, region.accepted());
        int changes = region.storedMutations();
        region.pipelines.cancel(2, 0);
        // As long as users need to ask again.
        run(5);
        assertEquals(1, region.unfinishedJobs().size(), region.unfinishedJobs().toString());
        assertTrue(
                region.storedMutations() - changes < 10,
                "changes " + (region.storedMutations() - changes));
        assertEquals(List.of(), region.violations);
    }
}
