package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.Version;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/** Replies of a controller's listener for users, workers and operators, by method and path. */
final class ListenerForms {

    private static final List<String> REQUESTS =
            List.of(
                    "GET /up",
                    "POST /up",
                    "GET /",
                    "GET /api/jobs",
                    "POST /api/jobs",
                    "GET /api/jobs/x",
                    "GET /api/jobs/run-999999",
                    "POST /api/jobs/run-999999",
                    "GET /api/jobs/run-999999/cancel",
                    "POST /api/jobs/run-999999/cancel",
                    "POST /api/nodes",
                    "GET /agent/beat",
                    "POST /agent/beat",
                    "POST /api/rollout",
                    "GET /api/rollout/activate",
                    "POST /api/rollout/activate",
                    "POST /api/rollout/unknown",
                    "POST /api/rollout/finalize",
                    "POST /api/rollout/rollback");

    private ListenerForms() {}

    static void write(GoldenFile file) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(1, Version.ROLLOUT);
        file.add(
                "a worker's report before anybody leads",
                region.directRequests.sendHeartbeat(0, "east"));
        region.world.run(20);
        region.jobMix.submitWide(1, 400, 8);
        region.world.run(40);
        int leader = region.leaderIndex();
        int follower = leader == 0 ? 1 : 0;
        for (String request : REQUESTS) {
            String[] words = request.split(" ");
            file.add(
                    "leader, " + request,
                    region.directRequests.request(leader, words[0], words[1]));
            file.add(
                    "other, " + request,
                    region.directRequests.request(follower, words[0], words[1]));
        }
        writeHeartbeats(file, region, leader, follower);
        addFieldTypes(
                file,
                "leader's overview",
                region.directRequests.request(leader, "GET", "/api/nodes"));
        addFieldTypes(
                file,
                "other's overview",
                region.directRequests.request(follower, "GET", "/api/nodes"));
        addFieldTypes(
                file, "rollout", region.directRequests.request(follower, "GET", "/api/rollout"));
        SimulatedRegion admissionRegion = SimulatedRegion.withAdmission(1, 3, 0);
        admissionRegion.world.run(20);
        admissionRegion.jobMix.submitWide(1, 40, 8);
        admissionRegion.jobMix.submitFailing(2, 1000);
        admissionRegion.world.run(22);
        admissionRegion.pipelines.submitArray(3, "standard", 4, 2, 1, 2);
        admissionRegion.world.run(40);
        HttpReply overview =
                admissionRegion.directRequests.request(
                        admissionRegion.leaderIndex(), "GET", "/api/nodes");
        addFieldTypes(file, "overview with admission", overview);
        file.add(
                "rollout switched off",
                admissionRegion.directRequests.request(0, "GET", "/api/rollout"));
    }

    /**
     * Adds replies to heartbeats of a machine that is assigned to one of the controllers, also
     * while the follower is partitioned from the leader and from all other processes.
     */
    private static void writeHeartbeats(
            GoldenFile file, SimulatedRegion region, int leader, int follower) {
        for (int i = 0; i < 2; i++) {
            file.add("leader, report", region.directRequests.sendHeartbeat(leader, "east"));
            file.add("other, report", region.directRequests.sendHeartbeat(follower, "east"));
            region.world.run(region.world.now() + 2 * SimulatedRegion.HEARTBEAT_INTERVAL_S);
        }
        double now = region.world.now();
        region.world.partition(
                "node-" + follower,
                "10.0.0." + (leader + 1),
                now + 3 * SimulatedRegion.HEARTBEAT_INTERVAL_S);
        region.world.run(now + 2 * SimulatedRegion.HEARTBEAT_INTERVAL_S);
        file.add(
                "other, cut off from the leader, report",
                region.directRequests.sendHeartbeat(follower, "east"));
        region.world.partition("node-" + follower, "10.", now + 2 * SimulatedRegion.LEASE_S);
        region.world.run(now + SimulatedRegion.LEASE_S);
        file.add(
                "other, cut off from all, report",
                region.directRequests.sendHeartbeat(follower, "east"));
        file.add(
                "other, cut off from all, health",
                region.directRequests.request(follower, "GET", "/up"));
        region.world.run(now + 4 * SimulatedRegion.LEASE_S);
    }

    /** Adds all fields with their types; values are left out because they vary with time. */
    private static void addFieldTypes(GoldenFile file, String name, HttpReply reply) {
        TreeSet<String> fields = new TreeSet<>();
        collectFieldTypes(Json.read(reply.body()), "", fields);
        fields.forEach(field -> file.add(name, field));
    }

    private static void collectFieldTypes(JsonNode node, String path, TreeSet<String> fields) {
        if (!node.isContainerNode()) {
            fields.add(path + " " + node.getNodeType().name().toLowerCase(Locale.ROOT));
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            collectFieldTypes(node.path(name), path + "." + name, fields);
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            collectFieldTypes(node.path(i), path + "[]", fields);
        }
    }
}
