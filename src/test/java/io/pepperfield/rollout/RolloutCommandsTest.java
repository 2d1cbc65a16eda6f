package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.leadership.LeaderClaim;
import io.pepperfield.standin.InMemoryKeyValueStore;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.RegionSettings;
import io.pepperfield.standin.SimWorld;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.ReadResult;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Operators' commands and late, repeated and contradictory writes around them, one at a time. */
class RolloutCommandsTest {

    private static final String RECORD = Keys.runRecord("run-000001", 0);
    private static final String ACTIVATE = "{\"olderReleasesRetired\":true}";
    private static final JsonNode LINES = Json.read(bytes("[[0,1,1,\"host-1\",1],[1,1,2]]"));
    private static final JsonNode LATER = Json.read(bytes("[[0,1,2],[1,1,2]]"));
    private static final Release GATED = new Release("gated", 1, 1, 1);
    private static final double SECONDS = 20;

    private JobSpec spec;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final InMemoryKeyValueStore state = new InMemoryKeyValueStore();

    /** A controller as far as the rollout is concerned; it leads if it is told that it does. */
    private final class Node implements LeaderClaim {
        final Rollout rollout;
        final Map<String, Long> stamps = new HashMap<>();
        final Map<String, JsonNode> seen = new HashMap<>();
        final Replica replica = new Replica(this::changed);
        boolean leads;

        Node(int index, Release release) {
            rollout = new Rollout(loop, settings(index), state, release);
            rollout.attach(this, id -> spec);
        }

        private void changed(String key, JsonNode data, long stamp) {
            stamps.put(key, stamp);
            seen.put(key, data);
            if (key.startsWith(Keys.ROLLOUT_PREFIX)) {
                rollout.changed(key, data, stamp);
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
                                    new Precondition(record, stamps.getOrDefault(record, 0L))),
                            List.of(Mutation.set(record, lines)),
                            result -> got[0] = result);
            return got[0];
        }

        HttpReply command(String name, String body) {
            HttpReply[] got = new HttpReply[1];
            rollout.handle(
                    SimWorld.call("POST", "/api/rollout/" + name, bytes(body)),
                    reply -> got[0] = reply);
            return got[0];
        }

        @Override
        public boolean holdsValidLease() {
            return leads;
        }

        @Override
        public FencingToken fencingToken() {
            return new FencingToken(stamps.getOrDefault(Keys.LEADER, 0L));
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

    private Node leader;
    private Node other;

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

    private void hearAll() {
        leader.hear();
        other.hear();
    }

    private void passTime() {
        double until = loop.now() + SECONDS;
        while (loop.now() < until) {
            loop.run(loop.now() + 0.5);
            hearAll();
        }
    }

    private void activate() {
        assertEquals(200, leader.command("activate", ACTIVATE).status());
        hearAll();
    }

    private static String why(HttpReply reply) {
        return Json.read(reply.body()).path("error").asText();
    }

    private ClusterVersion version() {
        return ClusterVersion.read(state.get(Keys.ROLLOUT_VERSION)).orElseThrow();
    }

    // ---- late and stale writers

    @Test
    void aWriteOfBeforeTheActivationIsRefusedWheneverItArrives() {
        state.holdsTransactions = true;
        leader.write(LINES);
        state.holdsTransactions = false;
        activate();
        assertInstanceOf(CompareAndSwapOutcome.Conflict.class, state.carryOutHeld().get(0));
        assertNull(state.get(RECORD));
    }

    @Test
    void aWriterThatHasNotHeardOfTheActivationIsToldToTryAgain() {
        assertEquals(200, leader.command("activate", ACTIVATE).status());
        assertEquals(new CompareAndSwapOutcome.Refused(409), other.write(LINES));
        hearAll();
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, leader.write(LINES));
    }

    @Test
    void anOldProcessThatDeclaresItselfInTheLastMomentHoldsUpTheActivation() {
        // The leader has not heard of it yet.
        state.put(
                Keys.ROLLOUT_MEMBER_PREFIX + "node-1",
                new MemberRelease(GATED, "another", 0).write());
        assertEquals(503, leader.command("activate", ACTIVATE).status());
        assertNull(state.get(Keys.ROLLOUT_VERSION));
        leader.hear();
        assertEquals(
                "waits for: node-1 runs gated, which writes 1",
                why(leader.command("activate", ACTIVATE)));
    }

    @Test
    void aReplacedLeaderChangesNothing() {
        state.put(Keys.LEADER, Json.object().put("node", "node-1").put("grant", 2));
        assertEquals(503, leader.command("activate", ACTIVATE).status());
        assertNull(state.get(Keys.ROLLOUT_VERSION));
    }

    @Test
    void aReleaseThatLacksTheVersionWritesNothingAndSaysWhy() {
        activate();
        Node old = new Node(1, GATED);
        old.hear();
        assertFalse(old.rollout.gate().mayServe());
        assertEquals(new CompareAndSwapOutcome.Refused(503), old.write(LINES));
        old.leads = true;
        assertEquals(
                "serving nobody: stored-state version 2 is in use, and release gated reads 1 to 1",
                why(old.command("rollback", "{}")));
    }

    @Test
    void aReleaseThatLacksTheVersionServesNobodyBeforeARollbackHasEnded() {
        activate();
        leader.write(LINES);
        leader.command("rollback", "{}");
        Node old = new Node(1, GATED);
        old.hear();
        assertFalse(old.rollout.gate().mayServe());
        passTime();
        old.hear();
        assertTrue(old.rollout.gate().mayServe());
        assertEquals(LINES.toString(), old.seen.get(RECORD).toString());
    }

    @Test
    void aFullTransactionThatChangesTheFormOfAllItsRecordsIsNotTooLarge() {
        state.maxMutations = 8;
        assertEquals(8, leader.rollout.transactionLimits().maxMutations());
        assertEquals(4 * 8 - 1, leader.rollout.transactionLimits().maxPreconditions());
        List<Precondition> guards =
                new ArrayList<>(
                        List.of(new Precondition(Keys.LEADER, leader.fencingToken().value())));
        for (int job = 1; job <= 4; job++) {
            leader.write(Keys.runRecord("run-00000" + job, 0), LINES);
        }
        leader.hear();
        activate();
        int most = leader.rollout.transactionLimits().maxMutations();
        List<Mutation> changes = new ArrayList<>();
        for (int job = 1; job <= most; job++) {
            String key = Keys.runRecord("run-00000" + job, 0);
            guards.add(new Precondition(key, leader.stamps.getOrDefault(key, 0L)));
            changes.add(Mutation.set(key, LATER));
        }
        guards.set(0, new Precondition(Keys.LEADER, leader.fencingToken().value()));
        CompareAndSwapOutcome[] got = new CompareAndSwapOutcome[1];
        leader.rollout
                .keyValueStore()
                .compareAndSwap(
                        RequestPriority.LEADER_WRITE, guards, changes, result -> got[0] = result);
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, got[0]);
        assertTrue(leader.rollout.transactionLimits().maxPreconditions() <= 4 * 8 - 1 - most);
    }

    @Test
    void aRecordThatWasRewrittenMeanwhileKeepsTheNewerLines() {
        activate();
        leader.write(LINES);
        leader.hear();
        leader.command("rollback", "{}");
        // The rewriting reads the record, and its transaction is carried out late.
        state.holdsTransactions = true;
        leader.hear();
        state.holdsTransactions = false;
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, leader.write(LATER));
        assertInstanceOf(CompareAndSwapOutcome.Conflict.class, state.carryOutHeld().get(0));
        passTime();
        assertEquals(LATER, state.get(RECORD));
    }

    // ---- records

    @Test
    void aRecordIsInOneFormAndComesBackAsItWas() {
        leader.write(LINES);
        leader.hear();
        activate();
        leader.hear();
        leader.write(LATER);
        assertNull(state.get(RECORD));
        assertEquals(2, state.get(VersionedKeyValueStore.compactKey(RECORD)).path("v").asInt());
        hearAll();
        assertEquals(LATER, other.seen.get(RECORD));
        leader.command("rollback", "{}");
        passTime();
        assertEquals(LATER, state.get(RECORD));
        assertEquals(0, state.count(Keys.SECOND_FORM_RUN_RECORD_PREFIX));
        assertEquals(ClusterVersion.INITIAL, version());
        assertEquals(LATER, other.seen.get(RECORD));
    }

    @Test
    void aRecordOfAnotherVersionIsPassedOnAsSuchAndNeverRewritten() {
        activate();
        JsonNode unknown = Json.object().put("v", 3);
        state.put(VersionedKeyValueStore.compactKey(RECORD), unknown);
        hearAll();
        assertEquals(TaskState.UNREADABLE_RECORD, leader.seen.get(RECORD));
        leader.command("rollback", "{}");
        passTime();
        assertEquals(unknown, state.get(VersionedKeyValueStore.compactKey(RECORD)));
        assertEquals(ClusterVersion.Phase.ROLLING_BACK, version().phase());
    }

    @Test
    void recordsWrittenSinceAnUnfinishedRollbackAreFoundByTheNext() {
        activate();
        for (int job = 1; job <= 6; job++) {
            assertInstanceOf(
                    CompareAndSwapOutcome.Committed.class,
                    leader.write(Keys.runRecord("run-00000" + job, 0), LINES));
        }
        hearAll();
        leader.command("rollback", "{}");
        leader.hear();
        assertEquals(2, state.count(Keys.SECOND_FORM_RUN_RECORD_PREFIX), "not rewritten yet");
        assertEquals(200, leader.command("activate", ACTIVATE).status());
        hearAll();
        // Compact once more, before the place that the rewriting had reached.
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, leader.write(LATER));
        leader.command("rollback", "{}");
        passTime();
        assertEquals(0, state.count(Keys.SECOND_FORM_RUN_RECORD_PREFIX));
        assertEquals(LATER, state.get(RECORD));
        assertEquals(ClusterVersion.INITIAL, version());
    }

    private static List<TaskState> longLines() {
        List<TaskState> lines = new ArrayList<>();
        for (int task = 0; task < 100; task++) {
            lines.add(new TaskState(task, 1, TaskState.Phase.LIVE, "host-" + task / 2, 1));
        }
        return lines;
    }

    @Test
    void aRecordThatNoLongerFitsInTheFirstFormIsDivided() {
        spec = new JobSpecBuilder().id("run-000001").tasks(100).chunk(100).build();
        List<TaskState> lines = longLines();
        activate();
        leader.write(TaskState.encode(lines));
        leader.hear();
        leader.write(Keys.runRecord("run-000002", 0), LINES);
        leader.hear();
        state.maxValueBytes = 1024;
        leader.command("rollback", "{}");
        passTime();
        assertEquals(ClusterVersion.INITIAL, version());
        List<TaskState> found = new ArrayList<>();
        for (int part = 0; part < TaskState.SPLIT_PARTS; part++) {
            found.addAll(TaskState.decode(state.get(spec.splitRecordKey(0, part))));
        }
        assertEquals(lines, found);
        assertEquals(LINES.toString(), state.get(Keys.runRecord("run-000002", 0)).toString());
    }

    @Test
    void aRecordThatCannotBeRewrittenKeepsNoOtherFromIt() {
        activate();
        leader.write(TaskState.encode(longLines()));
        leader.hear();
        leader.write(Keys.runRecord("run-000002", 0), LINES);
        leader.hear();
        // It does not fit any more, and its job, which says how to divide it, is not known.
        state.maxValueBytes = 1024;
        leader.command("rollback", "{}");
        passTime();
        assertEquals(LINES.toString(), String.valueOf(state.get(Keys.runRecord("run-000002", 0))));
        assertEquals(1, state.count(Keys.SECOND_FORM_RUN_RECORD_PREFIX));
        assertEquals(ClusterVersion.Phase.ROLLING_BACK, version().phase());
    }

    // ---- commands

    @Test
    void commandsMayBeRepeatedAfterALostAnswer() {
        state.losesAnswers = true;
        assertEquals(503, leader.command("activate", ACTIVATE).status());
        state.losesAnswers = false;
        // Not heard of yet: neither done nor refused for good.
        assertEquals(503, leader.command("activate", ACTIVATE).status());
        hearAll();
        assertEquals(200, leader.command("activate", ACTIVATE).status());
        assertEquals(200, leader.command("rollback", "{}").status());
        hearAll();
        hearAll();
        assertEquals(200, leader.command("rollback", "{}").status());
        passTime();
        assertEquals(200, leader.command("rollback", "{}").status());
        assertEquals(ClusterVersion.INITIAL, version());
    }

    @Test
    void isNotCalledActiveByWhoHasNotHeardOfARollback() {
        activate();
        state.put(Keys.ROLLOUT_VERSION, version().rollingBack().write());
        assertEquals(503, leader.command("activate", ACTIVATE).status());
    }

    @Test
    void isNotCalledTheOnlyOneByWhoHasNotHeardOfAnActivation() {
        state.put(Keys.ROLLOUT_VERSION, ClusterVersion.INITIAL.activated(2, List.of()).write());
        assertEquals(503, leader.command("rollback", "{}").status());
    }

    @Test
    void refusesWhatCannotBeAndWritesNothing() {
        int before = state.mutations;
        assertEquals(
                "version 3 is not known to this release, which writes 2",
                why(leader.command("activate", "{\"to\":3,\"olderReleasesRetired\":true}")));
        assertEquals(
                "version 0 cannot follow version 1",
                why(leader.command("activate", "{\"to\":0,\"olderReleasesRetired\":true}")));
        assertEquals(400, leader.command("activate", "{\"to\":\"two\"}").status());
        assertEquals(400, leader.command("activate", "{").status());
        assertEquals(
                "node-7 is no configured controller",
                why(
                        leader.command(
                                "activate",
                                "{\"without\":[\"node-7\"],\"olderReleasesRetired\":true}")));
        assertTrue(
                why(leader.command("activate", "{}")).contains("--older-releases-retired"),
                "an operator's word");
        assertEquals(404, leader.command("frob", "{}").status());
        assertEquals("not the leader, which is node-0", why(other.command("activate", ACTIVATE)));
        assertEquals(before, state.mutations);
    }

    @Test
    void aControllerThatNeverComesBackIsLeftOutByName() {
        Node alone = new Node(0, Release.CURRENT);
        alone.leads = true;
        alone.hear();
        state.put(Keys.ROLLOUT_MEMBER_PREFIX + "node-1", Json.object());
        alone.hear();
        assertEquals(
                "waits for: node-1 has declared no release",
                why(alone.command("activate", ACTIVATE)));
        String without = "{\"without\":[\"node-1\"],\"olderReleasesRetired\":true}";
        assertEquals(200, alone.command("activate", without).status());
        assertEquals(List.of("node-1"), version().removedControllers());
    }

    @Test
    void aVersionRecordThatIsGoneOrUnreadableLetsNobodyServe() {
        activate();
        leader.rollout.changed(Keys.ROLLOUT_VERSION, null, 90);
        assertFalse(leader.rollout.gate().mayServe());
        other.rollout.changed(Keys.ROLLOUT_VERSION, Json.object().put("writes", 1), 90);
        assertFalse(other.rollout.gate().mayServe());
    }

    @Test
    void whoLooksAtTheKeysWithoutAGateFindsAnotherLeader() {
        activate();
        KeyValue fence =
                new KeyValue(Keys.LEADER, state.get(Keys.LEADER), state.modRevision(Keys.LEADER));
        assertEquals("stored-version-fence", fence.value().path("node").asText());
        leader.command("rollback", "{}");
        passTime();
        assertEquals("node-0", state.get(Keys.LEADER).path("node").asText());
    }
}
