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
 * Three controllers as processes on this machine under a flood of one team; one is killed and one
 * frozen in it, and another team is served all the while. A longer soak with {@code
 * -Dpepperfield.rounds=100}.
 */
class AdmissionLoopbackTest {

    private static final int CONTROLLERS = 3;

    /** Half of 200 changes a second. */
    private static final double ALL_PER_S = 100;

    private static final int JOBS_A_ROUND = 6;

    @TempDir private Path directory;

    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<Thread> flood = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger(500_000);
    private final AtomicInteger admitted = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean flooding = true;
    private LoopbackRegion region;
    private int jobs;

    @AfterEach
    void stop() throws InterruptedException {
        flooding = false;
        for (Thread thread : flood) {
            thread.join();
        }
        for (ControllerProcess controller : controllers) {
            controller.kill();
        }
        region.close();
    }

    private void floodNode(int node) {
        Thread thread =
                new Thread(
                        () -> {
                            while (flooding) {
                                ObjectNode job = LoopbackRegion.smallJob(ids.incrementAndGet());
                                job.put("owner", "guests").put("workload", "flood");
                                job.put("rank", "best_effort").put("shards", 1).put("vcpus", 0.1);
                                byte[] body = Json.write(job);
                                int status = region.status(node, "POST", "/api/jobs", body);
                                admitted.addAndGet(status == 201 ? 1 : 0);
                                refused.addAndGet(status == 503 ? 1 : 0);
                            }
                        });
        flood.add(thread);
        thread.start();
    }

    /** Each job is accepted by whichever controller answers, within the patience of a user. */
    private void submitSome() throws Exception {
        for (int i = 0; i < JOBS_A_ROUND; i++) {
            byte[] body = Json.write(LoopbackRegion.smallJob(++jobs));
            long from = System.nanoTime();
            region.retryAnyUntil(
                    "POST",
                    "/api/jobs",
                    body,
                    answer -> answer.status() == 201 || answer.status() == 200);
            assertTrue(System.nanoTime() - from < 60e9, "job " + jobs);
        }
    }

    private JsonNode admission(int node) throws Exception {
        return region.retryUntil(
                        node, "GET", "/api/nodes", null, answer -> answer.json().has("admission"))
                .path("admission");
    }

    /** The overview of whoever leads. */
    private JsonNode leadersAdmission() throws Exception {
        return region.retryAnyUntil(
                        "GET",
                        "/api/nodes",
                        null,
                        answer -> answer.json().path("admission").path("classes").size() >= 2)
                .path("admission");
    }

    @Test
    void aFloodTakesNothingFromOthersWhileControllersFail() throws Exception {
        region = new LoopbackRegion(CONTROLLERS);
        for (int node = 0; node < CONTROLLERS; node++) {
            controllers.add(new ControllerProcess(region, node, directory));
            controllers.get(node).start(Version.CURRENT, Feature.ADMISSION);
        }
        submitSome();
        long from = System.nanoTime();
        for (int node = 0; node < CONTROLLERS; node++) {
            floodNode(node);
            floodNode(node);
        }
        for (int round = 0; round < Integer.getInteger("pepperfield.rounds", 3); round++) {
            submitSome();
            controllers.get(round % CONTROLLERS).kill();
            submitSome();
            controllers.get(round % CONTROLLERS).start(Version.CURRENT, Feature.ADMISSION);
            controllers.get((round + 1) % CONTROLLERS).setSuspended(true);
            submitSome();
            controllers.get((round + 1) % CONTROLLERS).setSuspended(false);
            submitSome();
        }
        JsonNode seen = leadersAdmission();
        double seconds = (System.nanoTime() - from) / 1e9;
        assertTrue(refused.get() > 0, "the flood asked for no more than there is");
        // A second's worth of each process saved up, of which some began anew.
        double most = ALL_PER_S * (seconds + 2);
        assertTrue(admitted.get() <= most, admitted + " in " + seconds + " s");
        int allotted = 0;
        for (JsonNode controller : seen.path("controllers")) {
            allotted += controller.path("allotted").asInt();
        }
        assertTrue(allotted <= seen.path("divided").asInt(), seen.toString());
        assertEquals(List.of(), region.violations);
        assertTrue(admission(0).path("fixed").asInt() > 0);
    }
}
