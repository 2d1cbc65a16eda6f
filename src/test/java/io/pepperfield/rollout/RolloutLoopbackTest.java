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
 * Five controllers as processes on this machine: upgraded in random order under load, killed at
 * random moments, some back on old code, activated, half rolled back, activated again. Other orders
 * with {@code -Dpepperfield.seed=7}.
 */
class RolloutLoopbackTest {

    private static final int CONTROLLERS = 5;
    private static final int JOBS_AT_A_TIME = 3;
    private static final int REFUSED = 409;
    private static final byte[] ACTIVATE =
            "{\"olderReleasesRetired\":true}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NOTHING = "{}".getBytes(StandardCharsets.UTF_8);

    @TempDir private Path directory;

    private final Random random = new Random(Integer.getInteger("pepperfield.seed", 1));
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<String> accepted = new ArrayList<>();
    private LoopbackRegion region;

    @AfterEach
    void stop() throws InterruptedException {
        for (ControllerProcess controller : controllers) {
            controller.kill();
        }
        region.close();
    }

    private void replace(int node, Version by) throws Exception {
        controllers.get(node).kill();
        controllers.get(node).start(by);
    }

    /** Whoever leads, by the durable key. */
    private int leader() throws Exception {
        String holder = "";
        while (holder.isEmpty()) {
            holder =
                    region.retryAnyUntil("GET", "/api/rollout", null, a -> a.status() == 200)
                            .path("leader")
                            .asText();
        }
        return Integer.parseInt(holder.substring("node-".length()));
    }

    private void submitSome() throws Exception {
        for (int i = 0; i < JOBS_AT_A_TIME; i++) {
            int number = accepted.size() + 1;
            region.retryAnyUntil(
                    "POST",
                    "/api/jobs",
                    Json.write(LoopbackRegion.smallJob(number)),
                    answer -> answer.status() == 201 || answer.status() == 200);
            accepted.add(String.format(Locale.ROOT, "run-%06d", number));
        }
    }

    private void command(String name, byte[] body) throws Exception {
        region.retryAnyUntil(
                "POST", "/api/rollout/" + name, body, answer -> answer.status() == 200);
    }

    private ClusterVersion version() throws Exception {
        return ClusterVersion.read(region.storedValue("pepperfield/rollout/version")).orElseThrow();
    }

    private void untilDeclared(int node, String release) throws Exception {
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
    void noRecordIsMisreadAndNoJobLostWhateverTheOrder() throws Exception {
        region = new LoopbackRegion(CONTROLLERS);
        region.enableRolloutChecks();
        List<Integer> order = new ArrayList<>();
        for (int node = 0; node < CONTROLLERS; node++) {
            controllers.add(new ControllerProcess(region, node, directory));
            controllers.get(node).start(Version.GATED);
            order.add(node);
        }
        submitSome();
        Collections.shuffle(order, random);
        for (int node : order) {
            replace(node, Version.ROLLOUT);
            submitSome();
        }
        int back = random.nextInt(CONTROLLERS);
        // Or its declaration could arrive after the one of its first process has been seen below.
        untilDeclared(back, Release.CURRENT.name());
        replace(back, Version.GATED);
        // As long as the declaration of the process before it stands, it would not be waited for.
        untilDeclared(back, Version.GATED.name().toLowerCase(Locale.ROOT));
        // The leader waits for it; if it leads itself, it does not know the version.
        region.retryAnyUntil(
                "POST", "/api/rollout/activate", ACTIVATE, answer -> answer.status() == REFUSED);
        replace(back, Version.ROLLOUT);
        command("activate", ACTIVATE);
        submitSome();
        // Back on old code after the activation: it serves nobody, and holds nobody up.
        replace(back, Version.GATED);
        submitSome();
        controllers.get(leader()).kill();
        submitSome();
        for (int node = 0; node < CONTROLLERS; node++) {
            replace(node, Version.ROLLOUT);
        }
        command("rollback", NOTHING);
        replace(leader(), Version.ROLLOUT);
        submitSome();
        command("activate", ACTIVATE);
        submitSome();

        assertEquals(Phase.ACTIVE, version().phase());
        for (String id : accepted) {
            for (int node = 0; node < CONTROLLERS; node++) {
                region.retryUntil(
                        node, "GET", "/api/jobs/" + id, null, RolloutLoopbackTest::isDone);
            }
        }
        assertEquals(List.of(), region.violations);
        command("rollback", NOTHING);
        region.retryAnyUntil(
                "GET",
                "/api/rollout",
                null,
                answer -> answer.json().path("highest").asInt() == StoredVersions.FIRST);
        assertEquals(List.of(), region.violations);
        assertTrue(version().removedControllers().isEmpty());
    }
}
