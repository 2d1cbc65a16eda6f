package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** Tracks the leader of a simulated region by the leader key in the state service. */
final class LeaderWatch {

    private static final String NODE_PREFIX = "node-";

    private final StoreStandIn store;
    private final Runnable onNewLeader;
    private long lastGrant;
    private int lastLeader;
    private int leaderChanges;

    /**
     * @param onNewLeader called when a new leadership has begun
     */
    LeaderWatch(StoreStandIn store, Runnable onNewLeader) {
        this.store = store;
        this.onNewLeader = onNewLeader;
    }

    /** Checks the leader key for a new leadership; must be called frequently. */
    void tick() {
        JsonNode key = leaderKey();
        if (key != null && key.path("grant").longValue() != lastGrant) {
            lastGrant = key.path("grant").longValue();
            lastLeader = leaderIndex();
            leaderChanges++;
            onNewLeader.run();
        }
    }

    /** Returns the name of the leader, or an empty string if there is none. */
    String leaderName() {
        JsonNode key = leaderKey();
        return key == null ? "" : key.path("node").asText();
    }

    /** Returns the index of the leader; fails if there is none. */
    int leaderIndex() {
        return Integer.parseInt(leaderName().substring(NODE_PREFIX.length()));
    }

    /** Returns the index of the current or most recent leader. */
    int lastLeaderIndex() {
        return lastLeader;
    }

    /** Returns the number of leaderships that have begun. */
    int leaderChanges() {
        return leaderChanges;
    }

    /**
     * Returns the value of the leader key in use, or null if there is no leader. Once the first key
     * holds the stored-version fence, the key of version 2 is in use.
     */
    private JsonNode leaderKey() {
        JsonNode unversioned = store.get("pepperfield/leader");
        return RolloutRules.isFence(unversioned) ? store.get("pepperfield/v2/leader") : unversioned;
    }
}
