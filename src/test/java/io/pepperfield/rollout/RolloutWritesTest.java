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

/** Late and stale writers around an activation and a rollback, one at a time. */
class RolloutWritesTest extends RolloutFixture {

    @Test
    void aWriteOfBeforeTheActivationIsRefusedWheneverItArrives() {
        state.holdTransactions = true;
        leader.write(LINES);
        state.holdTransactions = false;
        activate();
        assertInstanceOf(
                CompareAndSwapOutcome.Conflict.class, state.applyHeldTransactions().get(0));
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
            guards.add(new Precondition(key, leader.modRevisions.getOrDefault(key, 0L)));
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
        state.holdTransactions = true;
        leader.hear();
        state.holdTransactions = false;
        assertInstanceOf(CompareAndSwapOutcome.Committed.class, leader.write(LATER));
        assertInstanceOf(
                CompareAndSwapOutcome.Conflict.class, state.applyHeldTransactions().get(0));
        passTime();
        assertEquals(LATER, state.get(RECORD));
    }
}
