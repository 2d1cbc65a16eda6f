package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.cli.Main;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsReader;
import io.pepperfield.http.Json;
import io.pepperfield.standin.LoopbackRegion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Three controllers and stand-ins for their environment, connected by real loopback sockets. */
class LoopbackTest {

    private LoopbackRegion region;
    private final List<ControllerServer> controllers = new ArrayList<>();
    private final List<Thread> eventLoopThreads = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        region = new LoopbackRegion(3);
        for (int i = 0; i < 3; i++) {
            Settings settings =
                    SettingsReader.parse(
                            "node-" + i, region.settingsToml(i), OperatorSettings.DEFAULTS);
            ControllerServer controller = new ControllerServer(settings);
            controller.start();
            controllers.add(controller);
            Thread eventLoopThread = new Thread(controller::run);
            eventLoopThreads.add(eventLoopThread);
            eventLoopThread.start();
        }
    }

    @AfterEach
    void stop() throws InterruptedException {
        controllers.forEach(ControllerServer::stop);
        for (Thread eventLoopThread : eventLoopThreads) {
            eventLoopThread.join();
        }
        region.close();
    }

    private int status(int node, ObjectNode job) {
        return region.send(node, "POST", "/api/jobs", Json.write(job)).status();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private int submitByCommandLine(ObjectNode job, ByteArrayOutputStream stderr)
            throws IOException {
        Path file = Files.createTempFile("job", ".json");
        PrintStream originalErr = System.err;
        System.setErr(new PrintStream(stderr, true, StandardCharsets.UTF_8));
        try {
            Files.write(file, Json.write(job));
            return new CommandLine(new Main())
                    .execute("submit", file.toString(), "--server", "127.0.0.1:" + region.port(1));
        } finally {
            System.setErr(originalErr);
            Files.delete(file);
        }
    }

    @Test
    void submitCommandPrintsTheInvalidFieldOnOneLine() throws Exception {
        region.retryUntil(
                1,
                "POST",
                "/api/jobs",
                Json.write(LoopbackRegion.smallJob(1)),
                a -> a.status() == 201);
        ObjectNode invalid = LoopbackRegion.smallJob(2);
        invalid.putArray("awaits").add("run-000001").add(7);
        ObjectNode unknownJob = LoopbackRegion.smallJob(2);
        unknownJob.putArray("awaits").add("run-000001").add("run-000009");
        ByteArrayOutputStream stderr = new ByteArrayOutputStream();
        assertEquals(1, submitByCommandLine(invalid, stderr));
        assertEquals(1, submitByCommandLine(unknownJob, stderr));
        List<String> lines =
                stderr.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.startsWith("pepperfield: "))
                        .toList();
        assertEquals(
                List.of(
                        "pepperfield: 400: awaits: want an array of job ids",
                        "pepperfield: 422: awaits: run-000009 was never accepted"),
                lines);
    }

    @Test
    void requestsAreAnsweredAndServiceContinuesAfterTheLeaderStops() throws Exception {
        region.retryUntil(
                0,
                "POST",
                "/api/jobs",
                Json.write(LoopbackRegion.smallJob(1)),
                a -> a.status() == 201);
        assertMalformedAndInfeasibleJobsAreRejected();
        assertKnownAndUnknownJobsAreAnswered();
        assertAnotherControllerTakesOverFromTheLeader();
    }

    private void assertMalformedAndInfeasibleJobsAreRejected() throws Exception {
        for (String invalid :
                List.of(
                        "",
                        "{",
                        "[]",
                        "7",
                        "{\"nameId\":\"run-000002\"}",
                        "{} {}",
                        "{\"nameId\":1}")) {
            assertEquals(
                    400, region.send(0, "POST", "/api/jobs", bytes(invalid)).status(), invalid);
        }
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("nameId", "../etc")));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("shards", 0)));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("shards", 100_001)));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("shards", 2.5)));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("vcpus", "2")));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("memGb", -1)));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("shape", "round")));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).put("rank", "first")));
        assertEquals(400, status(0, LoopbackRegion.smallJob(2).putNull("spread")));
        assertEquals(
                400, status(0, LoopbackRegion.smallJob(2).put("workload", "x".repeat(70_000))));
        assertEquals(422, status(0, LoopbackRegion.smallJob(2).put("owner", "nobody")));
        assertEquals(422, status(0, LoopbackRegion.smallJob(2).put("vcpus", 30.0)));
        assertEquals(
                422,
                status(0, LoopbackRegion.smallJob(2).put("shape", "standing").put("shards", 20)));
    }

    private void assertKnownAndUnknownJobsAreAnswered() throws Exception {
        assertEquals(404, region.send(1, "GET", "/api/jobs/run-000002", null).status());
        assertEquals(
                404, region.send(1, "POST", "/api/jobs/run-000002/cancel", new byte[0]).status());
        assertEquals(404, region.send(1, "GET", "/nowhere", null).status());
        assertEquals(405, region.send(1, "DELETE", "/api/jobs/run-000001", null).status());
        // Every node answers a resubmission of a known job id with 200, even if its body is
        // invalid.
        assertEquals(200, status(2, LoopbackRegion.smallJob(1).put("shards", -5)));
        region.retryUntil(
                1,
                "GET",
                "/api/jobs/run-000001",
                null,
                a -> a.json().path("status").asText().equals("done"));
        assertEquals(
                "done",
                region.send(2, "POST", "/api/jobs/run-000001/cancel", new byte[0])
                        .json()
                        .path("status")
                        .asText());
    }

    private void assertAnotherControllerTakesOverFromTheLeader() throws Exception {
        int leader =
                Integer.parseInt(
                        region.send(0, "GET", "/api/nodes", null)
                                .json()
                                .path("leader")
                                .asText()
                                .substring(5));
        controllers.get(leader).stop();
        int other = (leader + 1) % 3;
        region.retryUntil(
                other,
                "POST",
                "/api/jobs",
                Json.write(LoopbackRegion.smallJob(3)),
                a -> a.status() == 201);
        region.retryUntil(
                (leader + 2) % 3,
                "GET",
                "/api/jobs/run-000003",
                null,
                a -> a.json().path("status").asText().equals("done"));
        assertEquals(201, status(other, LoopbackRegion.smallJob(4).put("shape", "standing")));
        assertEquals(
                "cancelled",
                region.send(other, "POST", "/api/jobs/run-000004/cancel", new byte[0])
                        .json()
                        .path("status")
                        .asText());
        assertEquals(
                "cancelled",
                region.send((leader + 2) % 3, "GET", "/api/jobs/run-000004", null)
                        .json()
                        .path("status")
                        .asText());
    }
}
