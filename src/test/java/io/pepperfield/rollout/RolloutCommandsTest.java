package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.Keys;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Operators' commands: repeated, contradictory, and ones that cannot be. */
class RolloutCommandsTest extends RolloutFixture {

    @Test
    void commandsMayBeRepeatedAfterALostAnswer() {
        state.dropResponses = true;
        assertEquals(503, leader.command("activate", ACTIVATE).status());
        state.dropResponses = false;
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
