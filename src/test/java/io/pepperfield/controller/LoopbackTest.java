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

/** Three controllers over loopback, with stand-ins of everything else behind real sockets. */
class LoopbackTest {

    private LoopbackRegion region;
    private final List<ControllerServer> services = new ArrayList<>();
    private final List<Thread> owners = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        region = new LoopbackRegion(3);
        for (int i = 0; i < 3; i++) {
            Settings settings =
                    SettingsReader.parse(
                            "node-" + i, region.settingsToml(i), OperatorSettings.DEFAULTS);
            ControllerServer service = new ControllerServer(settings);
            service.start();
            services.add(service);
            Thread owner = new Thread(service::run);
            owners.add(owner);
            owner.start();
        }
    }

    @AfterEach
    void stop() throws InterruptedException {
        services.forEach(ControllerServer::stop);
        for (Thread owner : owners) {
            owner.join();
        }
        region.close();
    }

    private int status(int node, ObjectNode job) {
        return region.send(node, "POST", "/api/jobs", Json.write(job)).status();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private int submitByCommandLine(ObjectNode job, ByteArrayOutputStream said) throws IOException {
        Path file = Files.createTempFile("job", ".json");
        PrintStream before = System.err;
        System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
        try {
            Files.write(file, Json.write(job));
            return new CommandLine(new Main())
                    .execute("submit", file.toString(), "--server", "127.0.0.1:" + region.port(1));
        } finally {
            System.setErr(before);
            Files.delete(file);
        }
    }

    @Test
    void theCommandLineNamesTheOffendingFieldOnOneLine() throws Exception {
        region.retryUntil(
                1,
                "POST",
                "/api/jobs",
                Json.write(LoopbackRegion.smallJob(1)),
                a -> a.status() == 201);
        ObjectNode bad = LoopbackRegion.smallJob(2);
        bad.putArray("awaits").add("run-000001").add(7);
        ObjectNode stranger = LoopbackRegion.smallJob(2);
        stranger.putArray("awaits").add("run-000001").add("run-000009");
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        assertEquals(1, submitByCommandLine(bad, said));
        assertEquals(1, submitByCommandLine(stranger, said));
        List<String> lines =
                said.toString(StandardCharsets.UTF_8)
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
    void answersJobsAndSurvivesTheLeader() throws Exception {
        region.retryUntil(
                0,
                "POST",
                "/api/jobs",
                Json.write(LoopbackRegion.smallJob(1)),
                a -> a.status() == 201);
        malformedAndInfeasibleJobsAreRefused();
        knownAndUnknownJobsAreAnswered();
        anotherControllerTakesOverFromTheLeader();
    }

    private void malformedAndInfeasibleJobsAreRefused() throws Exception {
        for (String bad :
                List.of(
                        "",
                        "{",
                        "[]",
                        "7",
                        "{\"nameId\":\"run-000002\"}",
                        "{} {}",
                        "{\"nameId\":1}")) {
            assertEquals(400, region.send(0, "POST", "/api/jobs", bytes(bad)).status(), bad);
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

    private void knownAndUnknownJobsAreAnswered() throws Exception {
        assertEquals(404, region.send(1, "GET", "/api/jobs/run-000002", null).status());
        assertEquals(
                404, region.send(1, "POST", "/api/jobs/run-000002/cancel", new byte[0]).status());
        assertEquals(404, region.send(1, "GET", "/nowhere", null).status());
        assertEquals(405, region.send(1, "DELETE", "/api/jobs/run-000001", null).status());
        // A known id gets 200 whatever its body says, from any node.
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

    private void anotherControllerTakesOverFromTheLeader() throws Exception {
        int leader =
                Integer.parseInt(
                        region.send(0, "GET", "/api/nodes", null)
                                .json()
                                .path("leader")
                                .asText()
                                .substring(5));
        services.get(leader).stop();
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
