package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.leadership.LeadershipView;
import io.pepperfield.standin.InMemoryKeyValueStore;
import io.pepperfield.standin.RegionSettings;
import io.pepperfield.standin.SimWorld;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.ReadResult;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;

/**
 * The rollout of two controllers with a shared state service. Tests decide when each controller
 * writes and when it reads the changes.
 */
abstract class RolloutFixture {

    static final String RUN_RECORD_KEY = Keys.runRecord("run-000001", 0);
    static final String ACTIVATE_BODY = "{\"olderReleasesRetired\":true}";
    static final JsonNode TASK_STATES = Json.read(bytes("[[0,1,1,\"host-1\",1],[1,1,2]]"));
    static final JsonNode UPDATED_TASK_STATES = Json.read(bytes("[[0,1,2],[1,1,2]]"));
    static final Release GATED_RELEASE = new Release("gated", 1, 1, 1);
    private static final double ADVANCE_S = 20;

    JobSpec jobSpec;
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    Node leader;
    Node follower;
    private final SimulatedLoop loop = new SimulatedLoop();

    /** The rollout of one controller; {@link #isLeader} sets whether it leads. */
    final class Node implements LeadershipView {
        final Rollout rollout;
        final Map<String, Long> modRevisions = new HashMap<>();
        final Map<String, JsonNode> values = new HashMap<>();
        final Replica replica = new Replica(this::changed);
        boolean isLeader;

        Node(int index, Release release) {
            rollout = new Rollout(loop, settings(index), store, release);
            rollout.attach(this, id -> jobSpec);
        }

        private void changed(String key, JsonNode data, long modRevision) {
            modRevisions.put(key, modRevision);
            values.put(key, data);
            if (key.startsWith(Keys.ROLLOUT_PREFIX)) {
                rollout.onKeyChanged(key, data, modRevision);
            }
        }

        /** Applies all changes in the store and runs due work. */
        void sync() {
            rollout.keyValueStore()
                    .watch(
                            replica.revision(),
                            0,
                            result -> {
                                ReadResult.Read read = (ReadResult.Read) result;
                                replica.applyChanges(read.entries(), read.revision());
                            });
            rollout.tick();
        }

        CompareAndSwapOutcome writeRunRecord(JsonNode taskStates) {
            return writeRunRecord(RUN_RECORD_KEY, taskStates);
        }

        CompareAndSwapOutcome writeRunRecord(String key, JsonNode taskStates) {
            CompareAndSwapOutcome[] outcome = new CompareAndSwapOutcome[1];
            rollout.keyValueStore()
                    .compareAndSwap(
                            RequestPriority.LEADER_WRITE,
                            List.of(
                                    new Precondition(Keys.LEADER, fencingToken().value()),
                                    new Precondition(key, modRevisions.getOrDefault(key, 0L))),
                            List.of(Mutation.set(key, taskStates)),
                            result -> outcome[0] = result);
            return outcome[0];
        }

        HttpReply sendCommand(String name, String body) {
            HttpReply[] received = new HttpReply[1];
            rollout.handle(
                    SimWorld.inboundRequest("POST", "/api/rollout/" + name, bytes(body)),
                    reply -> received[0] = reply);
            return received[0];
        }

        @Override
        public boolean holdsValidLease() {
            return isLeader;
        }

        @Override
        public FencingToken fencingToken() {
            return new FencingToken(modRevisions.getOrDefault(Keys.LEADER, 0L));
        }

        @Override
        public long grant() {
            return 1;
        }

        @Override
        public JsonNode leaderKeyValue() {
            return Json.object().put("node", "node-0").put("grant", 1);
        }

        @Override
        public String leaderNode() {
            return "node-0";
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Settings settings(int index) {
        return RegionSettings.of(index, 2, new Settings.StoreLimits(100, 50, 8, 8));
    }

    @BeforeEach
    void setUp() {
        store.put(Keys.LEADER, Json.object().put("node", "node-0").put("grant", 1));
        leader = new Node(0, Release.CURRENT);
        leader.isLeader = true;
        follower = new Node(1, Release.CURRENT);
        syncAll();
        syncAll();
    }

    void syncAll() {
        leader.sync();
        follower.sync();
    }

    void advanceTime() {
        double until = loop.now() + ADVANCE_S;
        while (loop.now() < until) {
            loop.run(loop.now() + 0.5);
            syncAll();
        }
    }

    void activate() {
        assertEquals(200, leader.sendCommand("activate", ACTIVATE_BODY).status());
        syncAll();
    }

    static String errorText(HttpReply reply) {
        return Json.read(reply.body()).path("error").asText();
    }

    ClusterVersion version() {
        return ClusterVersion.fromJson(store.get(Keys.ROLLOUT_VERSION)).orElseThrow();
    }
}
