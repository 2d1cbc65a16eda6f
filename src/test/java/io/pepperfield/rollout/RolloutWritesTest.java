package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Delayed writes and writers with a stale version around an activation and a rollback. */
class RolloutWritesTest extends RolloutFixture {

    @Test
    void delayedWriteFromBeforeActivationConflicts() {
        store.holdTransactions = true;
        leader.writeRunRecord(TASK_STATES);
        store.holdTransactions = false;
        activate();
        assertInstanceOf(
                CompareAndSwapOutcome.Conflict.class, store.applyHeldTransactions().get(0));
        assertNull(store.get(RUN_RECORD_KEY));
    }

    @Test
    void writeWithStaleVersionIsRefusedAsRetryable() {
        assertEquals(200, leader.sendCommand("activate", ACTIVATE_BODY).status());
        assertEquals(new CompareAndSwapOutcome.Refused(409), follower.writeRunRecord(TASK_STATES));
        syncAll();
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, leader.writeRunRecord(TASK_STATES));
    }

    @Test
    void oldReleaseDeclaredJustBeforeActivationBlocksIt() {
        // The leader has not seen this declaration yet.
        store.put(
                Keys.ROLLOUT_MEMBER_PREFIX + "node-1",
                new MemberRelease(GATED_RELEASE, "another", 0).toJson());
        assertEquals(503, leader.sendCommand("activate", ACTIVATE_BODY).status());
        assertNull(store.get(Keys.ROLLOUT_VERSION));
        leader.sync();
        assertEquals(
                "waits for: node-1 runs gated, which writes 1",
                errorText(leader.sendCommand("activate", ACTIVATE_BODY)));
    }

    @Test
    void replacedLeaderCannotActivate() {
        store.put(Keys.LEADER, Json.object().put("node", "node-1").put("grant", 2));
        assertEquals(503, leader.sendCommand("activate", ACTIVATE_BODY).status());
        assertNull(store.get(Keys.ROLLOUT_VERSION));
    }

    @Test
    void incompatibleReleaseRefusesWritesAndReportsTheReason() {
        activate();
        Node oldNode = new Node(1, GATED_RELEASE);
        oldNode.sync();
        assertFalse(oldNode.rollout.gate().mayServe());
        assertEquals(new CompareAndSwapOutcome.Refused(503), oldNode.writeRunRecord(TASK_STATES));
        oldNode.isLeader = true;
        assertEquals(
                "serving nobody: stored-state version 2 is in use, and release gated reads 1 to 1",
                errorText(oldNode.sendCommand("rollback", "{}")));
    }

    @Test
    void incompatibleReleaseServesOnlyAfterRollbackCompletes() {
        activate();
        leader.writeRunRecord(TASK_STATES);
        leader.sendCommand("rollback", "{}");
        Node oldNode = new Node(1, GATED_RELEASE);
        oldNode.sync();
        assertFalse(oldNode.rollout.gate().mayServe());
        advanceTime();
        oldNode.sync();
        assertTrue(oldNode.rollout.gate().mayServe());
        assertEquals(TASK_STATES.toString(), oldNode.values.get(RUN_RECORD_KEY).toString());
    }

    @Test
    void transactionAtTheLimitFitsWhenAllItsRecordsChangeFormat() {
        store.maxMutations = 8;
        assertEquals(8, leader.rollout.transactionLimits().maxMutations());
        assertEquals(4 * 8 - 1, leader.rollout.transactionLimits().maxPreconditions());
        List<Precondition> preconditions =
                new ArrayList<>(
                        List.of(new Precondition(Keys.LEADER, leader.fencingToken().value())));
        for (int job = 1; job <= 4; job++) {
            leader.writeRunRecord(Keys.runRecord("run-00000" + job, 0), TASK_STATES);
        }
        leader.sync();
        activate();
        int maxMutations = leader.rollout.transactionLimits().maxMutations();
        List<Mutation> mutations = new ArrayList<>();
        for (int job = 1; job <= maxMutations; job++) {
            String key = Keys.runRecord("run-00000" + job, 0);
            preconditions.add(new Precondition(key, leader.modRevisions.getOrDefault(key, 0L)));
            mutations.add(Mutation.set(key, UPDATED_TASK_STATES));
        }
        preconditions.set(0, new Precondition(Keys.LEADER, leader.fencingToken().value()));
        CompareAndSwapOutcome[] outcome = new CompareAndSwapOutcome[1];
        leader.rollout
                .keyValueStore()
                .compareAndSwap(
                        RequestPriority.LEADER_WRITE,
                        preconditions,
                        mutations,
                        result -> outcome[0] = result);
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, outcome[0]);
        assertTrue(
                leader.rollout.transactionLimits().maxPreconditions() <= 4 * 8 - 1 - maxMutations);
    }

    @Test
    void rollbackRewriteDoesNotOverwriteNewerTaskStates() {
        activate();
        leader.writeRunRecord(TASK_STATES);
        leader.sync();
        leader.sendCommand("rollback", "{}");
        // The rollback reads the record, and its rewriting transaction is delayed.
        store.holdTransactions = true;
        leader.sync();
        store.holdTransactions = false;
        assertInstanceOf(
                CompareAndSwapOutcome.Committed.class, leader.writeRunRecord(UPDATED_TASK_STATES));
        assertInstanceOf(
                CompareAndSwapOutcome.Conflict.class, store.applyHeldTransactions().get(0));
        advanceTime();
        assertEquals(UPDATED_TASK_STATES, store.get(RUN_RECORD_KEY));
    }
}
