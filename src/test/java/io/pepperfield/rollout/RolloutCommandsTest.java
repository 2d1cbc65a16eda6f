package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.Keys;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Operators' commands that are repeated, contradict each other or are invalid. */
class RolloutCommandsTest extends RolloutFixture {

    @Test
    void commandsCanBeRepeatedAfterALostResponse() {
        store.dropResponses = true;
        assertEquals(503, leader.sendCommand("activate", ACTIVATE_BODY).status());
        store.dropResponses = false;
        // The leader has not seen its write yet, so the command is neither completed nor refused.
        assertEquals(503, leader.sendCommand("activate", ACTIVATE_BODY).status());
        syncAll();
        assertEquals(200, leader.sendCommand("activate", ACTIVATE_BODY).status());
        assertEquals(200, leader.sendCommand("rollback", "{}").status());
        syncAll();
        syncAll();
        assertEquals(200, leader.sendCommand("rollback", "{}").status());
        advanceTime();
        assertEquals(200, leader.sendCommand("rollback", "{}").status());
        assertEquals(ClusterVersion.INITIAL, version());
    }

    @Test
    void activateIsUnavailableToLeaderWithStaleVersionDuringRollback() {
        activate();
        store.put(Keys.ROLLOUT_VERSION, version().rollingBack().toJson());
        assertEquals(503, leader.sendCommand("activate", ACTIVATE_BODY).status());
    }

    @Test
    void rollbackIsUnavailableToLeaderWithStaleVersionAfterActivation() {
        store.put(Keys.ROLLOUT_VERSION, ClusterVersion.INITIAL.activated(2, List.of()).toJson());
        assertEquals(503, leader.sendCommand("rollback", "{}").status());
    }

    @Test
    void invalidCommandsAreRejectedWithoutWrites() {
        int before = store.mutations;
        assertEquals(
                "version 3 is not known to this release, which writes 2",
                errorText(
                        leader.sendCommand(
                                "activate", "{\"to\":3,\"olderReleasesRetired\":true}")));
        assertEquals(
                "version 0 cannot follow version 1",
                errorText(
                        leader.sendCommand(
                                "activate", "{\"to\":0,\"olderReleasesRetired\":true}")));
        assertEquals(400, leader.sendCommand("activate", "{\"to\":\"two\"}").status());
        assertEquals(400, leader.sendCommand("activate", "{").status());
        assertEquals(
                "node-7 is no configured controller",
                errorText(
                        leader.sendCommand(
                                "activate",
                                "{\"without\":[\"node-7\"],\"olderReleasesRetired\":true}")));
        assertTrue(
                errorText(leader.sendCommand("activate", "{}"))
                        .contains("--older-releases-retired"),
                "activation needs the confirmation of an operator");
        assertEquals(404, leader.sendCommand("frob", "{}").status());
        assertEquals(
                "not the leader, which is node-0",
                errorText(follower.sendCommand("activate", ACTIVATE_BODY)));
        assertEquals(before, store.mutations);
    }

    @Test
    void activationProceedsOnceMissingControllerIsExcluded() {
        Node newLeader = new Node(0, Release.CURRENT);
        newLeader.isLeader = true;
        newLeader.sync();
        store.put(Keys.ROLLOUT_MEMBER_PREFIX + "node-1", Json.object());
        newLeader.sync();
        assertEquals(
                "waits for: node-1 has declared no release",
                errorText(newLeader.sendCommand("activate", ACTIVATE_BODY)));
        String excludingNode = "{\"without\":[\"node-1\"],\"olderReleasesRetired\":true}";
        assertEquals(200, newLeader.sendCommand("activate", excludingNode).status());
        assertEquals(List.of("node-1"), version().excludedControllers());
    }

    @Test
    void controllerStopsServingIfVersionRecordIsDeletedOrUnreadable() {
        activate();
        leader.rollout.onKeyChanged(Keys.ROLLOUT_VERSION, null, 90);
        assertFalse(leader.rollout.gate().mayServe());
        follower.rollout.onKeyChanged(Keys.ROLLOUT_VERSION, Json.object().put("writes", 1), 90);
        assertFalse(follower.rollout.gate().mayServe());
    }

    @Test
    void versionOneLeaderKeyHoldsFenceUntilRollbackCompletes() {
        activate();
        KeyValue fence =
                new KeyValue(Keys.LEADER, store.get(Keys.LEADER), store.modRevision(Keys.LEADER));
        assertEquals("stored-version-fence", fence.value().path("node").asText());
        leader.sendCommand("rollback", "{}");
        advanceTime();
        assertEquals("node-0", store.get(Keys.LEADER).path("node").asText());
    }
}
