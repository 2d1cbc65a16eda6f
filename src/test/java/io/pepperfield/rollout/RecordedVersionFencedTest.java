package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.standin.ReplayTrace;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.Version;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The recorded production version, which has no version gate, must neither lead nor write while the
 * state service holds keys of a newer stored-state version. The expected behaviour is a trace of
 * the version's own classes.
 */
class RecordedVersionFencedTest {

    private static final String JOB =
            "{\"w\":\"batch\",\"o\":\"red\",\"s\":0,\"r\":2,\"n\":3,\"c\":2.0,\"g\":0.0,\"m\":2.0,"
                    + "\"i\":\"img\",\"ig\":0.1,\"e\":1.0,\"ce\":0.0,\"cs\":0.0,\"at\":1000,\"k\":136,"
                    + "\"t\":false,\"sp\":false,\"re\":true}";

    private static final Map<String, String> KEYS =
            Map.of(
                    "pepperfield/v2/leader", "{\"node\":\"node-0\",\"grant\":9}",
                    "pepperfield/rollout/version",
                            "{\"writes\":2,\"highest\":2,\"finalized\":1,\"removed\":[]}",
                    "pepperfield/job/run-000001", JOB,
                    "pepperfield/v2/run/run-000001/0",
                            "{\"v\":2,\"done\":[0,1,1],\"live\":[[\"host-000001\",1,1,2,1]]}");

    private static JsonNode json(String text) {
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void recordedVersionNeitherWritesNorLeadsBesideANewerStoredVersion() throws IOException {
        ReplayTrace.check("recorded-version-fenced.txt", RecordedVersionFencedTest::play);
    }

    private static List<String> play(String[] words) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(1, Version.RECORDED);
        if (words[0].equals("while-one-leads")) {
            region.world.run(15);
        }
        region.directRequests.write("pepperfield/leader", VersionedKeyValueStore.fenceValue());
        KEYS.forEach((key, data) -> region.directRequests.write(key, json(data)));
        int mutationsBefore = region.storedMutations();
        region.world.run(region.world.now() + 40);
        String leader =
                region.leaderName().equals("node-0") ? "nobody of them leads" : region.leaderName();
        String writes =
                leader + ", " + (region.storedMutations() - mutationsBefore) + " changes in 40 s";
        String jobStatus = jobStatus(region);
        HttpReply health = region.directRequests.request(0, "GET", "/up");
        HttpReply heartbeat = region.directRequests.sendHeartbeat(0, "east");
        region.directRequests.write("pepperfield/end/run-000001", json("{\"s\":\"done\"}"));
        region.world.run(region.world.now() + 2);
        return List.of(
                writes,
                "asked about the job: " + jobStatus,
                "asked by the load balancer: " + health.status(),
                "a worker's report: "
                        + heartbeat.status()
                        + " "
                        + Json.read(heartbeat.body()).path("manager").asText(),
                "asked about the job once it is done: " + jobStatus(region));
    }

    private static String jobStatus(SimulatedRegion region) {
        HttpReply reply = region.directRequests.request(0, "GET", "/api/jobs/run-000001");
        return reply.status() + " " + Json.read(reply.body()).path("status").asText();
    }
}
