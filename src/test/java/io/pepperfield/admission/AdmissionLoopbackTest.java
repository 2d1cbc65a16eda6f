package io.pepperfield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Feature;
import io.pepperfield.http.Json;
import io.pepperfield.standin.ControllerProcess;
import io.pepperfield.standin.LoopbackRegion;
import io.pepperfield.standin.Version;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three controllers as local processes under a flood of one team, while controllers are killed
 * and frozen. Guards against a flood that starves another team, and against controllers that
 * together admit more than the rate. {@code -Dpepperfield.rounds=100} gives a longer soak.
 */
class AdmissionLoopbackTest {

    private static final int CONTROLLERS = 3;

    /** Half of 200 writes per second. */
    private static final double TOTAL_PER_S = 100;

    private static final int JOBS_PER_ROUND = 6;

    @TempDir private Path directory;

    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<Thread> floodThreads = new ArrayList<>();
    private final AtomicInteger lastFloodId = new AtomicInteger(500_000);
    private final AtomicInteger admitted = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean flooding = true;
    private LoopbackRegion region;
    private int submittedJobs;

    @AfterEach
    void stop() throws InterruptedException {
        flooding = false;
        for (Thread thread : floodThreads) {
            thread.join();
        }
        for (ControllerProcess controller : controllers) {
            controller.kill();
        }
        region.close();
    }

    private void startFlood(int node) {
        Thread thread =
                new Thread(
                        () -> {
                            while (flooding) {
                                ObjectNode job =
                                        LoopbackRegion.smallJob(lastFloodId.incrementAndGet());
                                job.put("owner", "guests").put("workload", "flood");
                                job.put("rank", "best_effort").put("shards", 1).put("vcpus", 0.1);
                                byte[] body = Json.write(job);
                                int status = region.status(node, "POST", "/api/jobs", body);
                                admitted.addAndGet(status == 201 ? 1 : 0);
                                refused.addAndGet(status == 503 ? 1 : 0);
                            }
                        });
        floodThreads.add(thread);
        thread.start();
    }

    /**
     * Submits jobs and checks that some controller accepts each of them within 60 s, which is as
     * long as a user waits.
     */
    private void submitJobs() throws Exception {
        for (int i = 0; i < JOBS_PER_ROUND; i++) {
            byte[] body = Json.write(LoopbackRegion.smallJob(++submittedJobs));
            long from = System.nanoTime();
            region.retryAnyUntil(
                    "POST",
                    "/api/jobs",
                    body,
                    answer -> answer.status() == 201 || answer.status() == 200);
            assertTrue(
                    System.nanoTime() - from < 60e9,
                    "not accepted within 60 s: job " + submittedJobs);
        }
    }

    private JsonNode admissionOverview(int node) throws Exception {
        return region.retryUntil(
                        node, "GET", "/api/nodes", null, answer -> answer.json().has("admission"))
                .path("admission");
    }

    /** Returns the admission overview of the leader, once it lists at least two classes. */
    private JsonNode leaderAdmissionOverview() throws Exception {
        return region.retryAnyUntil(
                        "GET",
                        "/api/nodes",
                        null,
                        answer -> answer.json().path("admission").path("classes").size() >= 2)
                .path("admission");
    }

    @Test
    void otherTeamsAreServedDuringAFloodWhileControllersFail() throws Exception {
        region = new LoopbackRegion(CONTROLLERS);
        for (int node = 0; node < CONTROLLERS; node++) {
            controllers.add(new ControllerProcess(region, node, directory));
            controllers.get(node).start(Version.CURRENT, Feature.ADMISSION);
        }
        submitJobs();
        long from = System.nanoTime();
        for (int node = 0; node < CONTROLLERS; node++) {
            startFlood(node);
            startFlood(node);
        }
        for (int round = 0; round < Integer.getInteger("pepperfield.rounds", 3); round++) {
            submitJobs();
            controllers.get(round % CONTROLLERS).kill();
            submitJobs();
            controllers.get(round % CONTROLLERS).start(Version.CURRENT, Feature.ADMISSION);
            controllers.get((round + 1) % CONTROLLERS).setSuspended(true);
            submitJobs();
            controllers.get((round + 1) % CONTROLLERS).setSuspended(false);
            submitJobs();
        }
        JsonNode overview = leaderAdmissionOverview();
        double seconds = (System.nanoTime() - from) / 1e9;
        assertTrue(refused.get() > 0, "no submission of the flood was refused");
        // Each process accumulates up to one second's worth of tokens; restarted ones do so again.
        double maxAdmitted = TOTAL_PER_S * (seconds + 2);
        assertTrue(
                admitted.get() <= maxAdmitted,
                admitted + " submissions of the flood admitted in " + seconds + " s");
        int allotted = 0;
        for (JsonNode controller : overview.path("controllers")) {
            allotted += controller.path("allotted").asInt();
        }
        assertTrue(allotted <= overview.path("divided").asInt(), overview.toString());
        assertEquals(List.of(), region.violations);
        assertTrue(admissionOverview(0).path("fixed").asInt() > 0);
    }
}
