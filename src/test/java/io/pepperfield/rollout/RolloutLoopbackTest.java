package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.Json;
import io.pepperfield.rollout.ClusterVersion.Phase;
import io.pepperfield.standin.ControllerProcess;
import io.pepperfield.standin.LoopbackRegion;
import io.pepperfield.standin.Version;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lost jobs and misread records during a rollout. Five controller processes on this
 * machine are upgraded in random order under load; some are killed or restarted on the older
 * release; the new version is activated, partly rolled back and activated again. {@code
 * -Dpepperfield.seed=7} draws another order.
 */
class RolloutLoopbackTest {

    private static final int CONTROLLERS = 5;
    private static final int JOBS_PER_BATCH = 3;
    private static final int CONFLICT = 409;
    private static final byte[] ACTIVATE =
            "{\"olderReleasesRetired\":true}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] EMPTY_BODY = "{}".getBytes(StandardCharsets.UTF_8);

    @TempDir private Path directory;

    private final Random random = new Random(Integer.getInteger("pepperfield.seed", 1));
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<String> acceptedJobs = new ArrayList<>();
    private LoopbackRegion region;

    @AfterEach
    void tearDown() throws InterruptedException {
        for (ControllerProcess controller : controllers) {
            controller.kill();
        }
        region.close();
    }

    private void restart(int node, Version version) throws Exception {
        controllers.get(node).kill();
        controllers.get(node).start(version);
    }

    /** The index of the leader as reported by any controller. */
    private int leader() throws Exception {
        String leader = "";
        while (leader.isEmpty()) {
            leader =
                    region.retryAnyUntil(
                                    "GET", "/api/rollout", null, answer -> answer.status() == 200)
                            .path("leader")
                            .asText();
        }
        return Integer.parseInt(leader.substring("node-".length()));
    }

    private void submitJobs() throws Exception {
        for (int i = 0; i < JOBS_PER_BATCH; i++) {
            int number = acceptedJobs.size() + 1;
            region.retryAnyUntil(
                    "POST",
                    "/api/jobs",
                    Json.write(LoopbackRegion.smallJob(number)),
                    answer -> answer.status() == 201 || answer.status() == 200);
            acceptedJobs.add(String.format(Locale.ROOT, "run-%06d", number));
        }
    }

    private void sendCommand(String name, byte[] body) throws Exception {
        region.retryAnyUntil(
                "POST", "/api/rollout/" + name, body, answer -> answer.status() == 200);
    }

    private ClusterVersion version() throws Exception {
        return ClusterVersion.fromJson(region.storedValue("pepperfield/rollout/version"))
                .orElseThrow();
    }

    private void awaitDeclaration(int node, String release) throws Exception {
        region.retryAnyUntil(
                "GET", "/api/rollout", null, answer -> release.equals(declared(answer, node)));
    }

    private static String declared(HttpOutcome.Answered answer, int node) {
        return answer.json()
                .path("controllers")
                .path(node)
                .path("release")
                .path("release")
                .asText();
    }

    private static boolean isDone(HttpOutcome.Answered answer) {
        return answer.json().path("status").asText().equals("done");
    }

    @Test
    void jobsAndRecordsSurviveUpgradesCrashesAndRollback() throws Exception {
        region = new LoopbackRegion(CONTROLLERS);
        region.enableRolloutChecks();
        List<Integer> order = new ArrayList<>();
        for (int node = 0; node < CONTROLLERS; node++) {
            controllers.add(new ControllerProcess(region, node, directory));
            controllers.get(node).start(Version.GATED);
            order.add(node);
        }
        submitJobs();
        Collections.shuffle(order, random);
        for (int node : order) {
            restart(node, Version.ROLLOUT);
            submitJobs();
        }
        int downgraded = random.nextInt(CONTROLLERS);
        // Otherwise the next check could match the declaration of the node's first, gated process.
        awaitDeclaration(downgraded, Release.CURRENT.name());
        restart(downgraded, Version.GATED);
        // While the previous process is still declared, activation would not wait for this one.
        awaitDeclaration(downgraded, Version.GATED.name().toLowerCase(Locale.ROOT));
        // The leader refuses because of this node; if this node itself leads, it does not support
        // the version.
        region.retryAnyUntil(
                "POST", "/api/rollout/activate", ACTIVATE, answer -> answer.status() == CONFLICT);
        restart(downgraded, Version.ROLLOUT);
        sendCommand("activate", ACTIVATE);
        submitJobs();
        // Restarted on the older release after the activation: it does not serve, and the others
        // make progress without it.
        restart(downgraded, Version.GATED);
        submitJobs();
        controllers.get(leader()).kill();
        submitJobs();
        for (int node = 0; node < CONTROLLERS; node++) {
            restart(node, Version.ROLLOUT);
        }
        sendCommand("rollback", EMPTY_BODY);
        restart(leader(), Version.ROLLOUT);
        submitJobs();
        sendCommand("activate", ACTIVATE);
        submitJobs();

        assertEquals(Phase.ACTIVE, version().phase());
        for (String id : acceptedJobs) {
            for (int node = 0; node < CONTROLLERS; node++) {
                region.retryUntil(
                        node, "GET", "/api/jobs/" + id, null, RolloutLoopbackTest::isDone);
            }
        }
        assertEquals(List.of(), region.violations);
        sendCommand("rollback", EMPTY_BODY);
        region.retryAnyUntil(
                "GET",
                "/api/rollout",
                null,
                answer -> answer.json().path("highest").asInt() == StoredVersions.FIRST);
        assertEquals(List.of(), region.violations);
        assertTrue(version().excludedControllers().isEmpty());
    }
}
