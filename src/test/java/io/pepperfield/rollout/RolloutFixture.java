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
 * Two controllers of the rollout over one state service, each written to and told one at a time.
 */
abstract class RolloutFixture {

    static final String RECORD = Keys.runRecord("run-000001", 0);
    static final String ACTIVATE = "{\"olderReleasesRetired\":true}";
    static final JsonNode LINES = Json.read(bytes("[[0,1,1,\"host-1\",1],[1,1,2]]"));
    static final JsonNode LATER = Json.read(bytes("[[0,1,2],[1,1,2]]"));
    static final Release GATED = new Release("gated", 1, 1, 1);
    private static final double SECONDS = 20;

    JobSpec spec;
    final InMemoryKeyValueStore state = new InMemoryKeyValueStore();
    Node leader;
    Node other;
    private final SimulatedLoop loop = new SimulatedLoop();

    /** A controller as far as the rollout is concerned; it leads if it is told that it does. */
    final class Node implements LeadershipView {
        final Rollout rollout;
        final Map<String, Long> modRevisions = new HashMap<>();
        final Map<String, JsonNode> seen = new HashMap<>();
        final Replica replica = new Replica(this::changed);
        boolean leads;

        Node(int index, Release release) {
            rollout = new Rollout(loop, settings(index), state, release);
            rollout.attach(this, id -> spec);
        }

        private void changed(String key, JsonNode data, long modRevision) {
            modRevisions.put(key, modRevision);
            seen.put(key, data);
            if (key.startsWith(Keys.ROLLOUT_PREFIX)) {
                rollout.changed(key, data, modRevision);
            }
        }

        /** Hears all that has been written, and does what is due. */
        void hear() {
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

        CompareAndSwapOutcome write(JsonNode lines) {
            return write(RECORD, lines);
        }

        CompareAndSwapOutcome write(String record, JsonNode lines) {
            CompareAndSwapOutcome[] got = new CompareAndSwapOutcome[1];
            rollout.keyValueStore()
                    .compareAndSwap(
                            RequestPriority.LEADER_WRITE,
                            List.of(
                                    new Precondition(Keys.LEADER, fencingToken().value()),
                                    new Precondition(
                                            record, modRevisions.getOrDefault(record, 0L))),
                            List.of(Mutation.set(record, lines)),
                            result -> got[0] = result);
            return got[0];
        }

        HttpReply command(String name, String body) {
            HttpReply[] got = new HttpReply[1];
            rollout.handle(
                    SimWorld.inboundRequest("POST", "/api/rollout/" + name, bytes(body)),
                    reply -> got[0] = reply);
            return got[0];
        }

        @Override
        public boolean holdsValidLease() {
            return leads;
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
    void start() {
        state.put(Keys.LEADER, Json.object().put("node", "node-0").put("grant", 1));
        leader = new Node(0, Release.CURRENT);
        leader.leads = true;
        other = new Node(1, Release.CURRENT);
        hearAll();
        hearAll();
    }

    void hearAll() {
        leader.hear();
        other.hear();
    }

    void passTime() {
        double until = loop.now() + SECONDS;
        while (loop.now() < until) {
            loop.run(loop.now() + 0.5);
            hearAll();
        }
    }

    void activate() {
        assertEquals(200, leader.command("activate", ACTIVATE).status());
        hearAll();
    }

    static String why(HttpReply reply) {
        return Json.read(reply.body()).path("error").asText();
    }

    ClusterVersion version() {
        return ClusterVersion.read(state.get(Keys.ROLLOUT_VERSION)).orElseThrow();
    }
}
