package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import java.util.List;
import java.util.function.Consumer;

/** Requests of a test to controllers and the state service, without the network between. */
public final class DirectRequests {

    private static final int STEPS_TO_ANSWER = 40;
    private static final double STEP_S = 0.05;

    private final SimWorld world;
    private final StoreStandIn store;
    private final List<SimNode> nodes;
    private int madeUpHeartbeats;

    DirectRequests(SimWorld world, StoreStandIn store, List<SimNode> nodes) {
        this.world = world;
        this.store = store;
        this.nodes = nodes;
    }

    /** Writes a key as a controller of another release would. */
    public void write(String key, JsonNode data) {
        ObjectNode body = Json.object();
        body.putArray("guards");
        body.putArray("apply").addObject().put("set", key).set("data", data);
        store.handle(SimWorld.inboundRequest("POST", "/txn", Json.write(body)), reply -> {});
    }

    /** Submits a small job once, at that node. */
    public void submitAt(int node, int number, Consumer<HttpReply> answer) {
        JobPlan plan = JobPlan.array(number, "batch", "red", "standard", 1, 1, List.of(1.0), true);
        nodes.get(node).request("users", "POST", "/api/jobs", Json.write(plan.body()), answer);
    }

    /** What a node answers; null where it has said nothing within two seconds. */
    public HttpReply request(int node, String method, String path) {
        return request(node, method, path, null);
    }

    /**
     * So many questions at once about jobs that nobody submitted: how many got 404, and how many
     * were told to come back.
     */
    public List<Integer> floodWithUnknownJobQueries(int node, int questions) {
        int[] got = new int[600];
        for (int i = 0; i < questions; i++) {
            nodes.get(node)
                    .request(
                            "users",
                            "GET",
                            "/api/jobs/run-9" + (10_000 + i),
                            null,
                            reply -> got[reply.status()]++);
        }
        world.run(world.now() + 2);
        return List.of(got[404], got[503]);
    }

    /** What a node answers to the report of an idle machine of that zone, of which there is one. */
    public HttpReply sendHeartbeat(int node, String zone) {
        return request(
                node,
                "POST",
                "/agent/beat",
                SimMachines.syntheticHeartbeat(zone, ++madeUpHeartbeats));
    }

    private HttpReply request(int node, String method, String path, byte[] body) {
        HttpReply[] got = new HttpReply[1];
        nodes.get(node).request("users", method, path, body, reply -> got[0] = reply);
        for (int step = 0; step < STEPS_TO_ANSWER && got[0] == null; step++) {
            world.run(world.now() + STEP_S);
        }
        return got[0];
    }
}
