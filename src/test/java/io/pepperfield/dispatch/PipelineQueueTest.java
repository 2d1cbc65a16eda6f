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

/**
 * The effective priority, waiting time and cancellation of jobs that depend on other jobs, also
 * after a change of leader.
 */
class PipelineQueueTest {

    private final SimulatedRegion region = new SimulatedRegion(31);

    /** Returns the leader's queue entry of a pending job. */
    private JsonNode queueEntry(String job) {
        return Json.read(
                        region.directRequests
                                .request(region.leaderIndex(), "GET", "/api/nodes")
                                .body())
                .path("waiting")
                .valueStream()
                .filter(entry -> entry.path("job").asText().equals(job))
                .findFirst()
                .orElseThrow();
    }

    private JsonNode job(String id) {
        return job(1, id);
    }

    private JsonNode job(int node, String id) {
        return Json.read(region.directRequests.request(node, "GET", "/api/jobs/" + id).body());
    }

    private boolean isQueued(int node, String job) {
        return Json.read(region.directRequests.request(node, "GET", "/api/nodes").body())
                .path("waiting")
                .valueStream()
                .anyMatch(entry -> entry.path("job").asText().equals(job));
    }

    private void run(double seconds) {
        region.world.run(region.world.now() + seconds);
    }

    private void changeLeader() {
        String before = region.leaderName();
        region.faults.crash(region.leaderIndex(), 20);
        run(6);
        assertNotEquals(before, region.leaderName());
    }

    @Test
    void inheritedPriorityFallsAfterCancellationsAndSurvivesALeaderChange() {
        run(8);
        // Uses up the team's limit for the duration of the test.
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        run(20);
        region.pipelines.submitArray(2, "best_effort", 1, 2, 5);
        run(1);
        region.pipelines.submitArray(3, "urgent", 1, 2, 5, 2);
        region.pipelines.submitArray(4, "standard", 1, 2, 5, 2);
        run(1);
        assertEquals("urgent", queueEntry("run-000002").path("rank").asText());
        assertEquals("waits for run-000002", queueEntry("run-000003").path("why").asText());
        assertEquals("run-000002", job("run-000003").path("waitsFor").path(0).asText());
        region.pipelines.cancel(3);
        run(1);
        assertEquals("standard", queueEntry("run-000002").path("rank").asText());
        changeLeader();
        assertEquals("standard", queueEntry("run-000002").path("rank").asText());
        region.pipelines.cancel(4);
        run(1);
        assertEquals("best_effort", queueEntry("run-000002").path("rank").asText());
        assertEquals(List.of(), region.violations);
    }

    @Test
    void waitingTimeStartsWhenTheLastDependencyIsDoneAlsoAfterALeaderChange() {
        run(8);
        region.pipelines.submitArray(2, "production", 1, 2, 10);
        run(1);
        region.pipelines.submitArray(3, "urgent", 1, 4, 5, 2);
        // Takes all free capacity before the job of lower priority.
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        while (!job("run-000002").path("status").asText().equals("done")) {
            assertTrue(region.world.now() < 100, "run-000002 not done within 100 s");
            run(0.5);
        }
        double doneAt = region.world.now();
        run(5);
        double waited = queueEntry("run-000003").path("waitedS").asDouble();
        assertEquals(region.world.now() - doneAt, waited, 2);
        changeLeader();
        assertEquals(
                region.world.now() - doneAt,
                queueEntry("run-000003").path("waitedS").asDouble(),
                2);
        assertEquals(List.of(), region.violations);
    }

    @Test
    void leaderCutOffFromTheStateServiceAppliesForwardedCancellationsToDependentJobs() {
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
        assertTrue(isQueued(leader, "run-000002") && isQueued(leader, "run-000004"));
        region.world.partition("node-" + leader, "10.2.0.1", region.world.now() + 2);
        // Handled by another controller, which notifies the leader directly.
        region.pipelines.cancel(2, (leader + 1) % 3);
        run(0.5);
        assertEquals(leader, region.leaderIndex());
        for (String cancelled : List.of("run-000002", "run-000003", "run-000004")) {
            assertFalse(isQueued(leader, cancelled), cancelled);
            assertEquals("cancelled", job(leader, cancelled).path("status").asText());
        }
        run(30);
        assertEquals(List.of(), region.violations);
    }

    /**
     * Each controller derives the cancellation of dependent jobs by itself. The state service must
     * not receive a write for each of them, and no other controller has to be queried.
     */
    @Test
    void cancellingTheRootOfHundredsOfDependentJobsTakesFewWrites() {
        int jobsPerShape = 200;
        run(8);
        region.pipelines.submitArray(1, "production", 12, 2, 400);
        run(20);
        region.pipelines.submitArray(2, "best_effort", 1, 2, 5);
        run(1);
        for (int i = 0; i < jobsPerShape; i++) {
            region.pipelines.submitArray(1000 + i, "standard", 1, 2, 5, 2);
            region.pipelines.submitArray(3000 + i, "standard", 1, 2, 5, i == 0 ? 2 : 2999 + i);
            run(0.2);
        }
        run(5);
        assertEquals(2 * jobsPerShape + 2, region.acceptedJobCount());
        int mutationsBefore = region.storedMutations();
        region.pipelines.cancel(2, 0);
        // Users poll again within this time.
        run(5);
        assertEquals(1, region.unfinishedJobs().size(), region.unfinishedJobs().toString());
        assertTrue(
                region.storedMutations() - mutationsBefore < 10,
                "mutations of the state service: " + (region.storedMutations() - mutationsBefore));
        assertEquals(List.of(), region.violations);
    }
}
