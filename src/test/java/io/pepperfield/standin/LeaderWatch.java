package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** Who leads a simulated region, as the durable leader key has it. */
final class LeaderWatch {

    private static final String NODE_PREFIX = "node-";

    private final StoreStandIn store;
    private final Runnable onNewLeader;
    private long lastGrant;
    private int lastLeader;
    private int leaderChanges;

    /**
     * @param onNewLeader told of each leadership that has begun
     */
    LeaderWatch(StoreStandIn store, Runnable onNewLeader) {
        this.store = store;
        this.onNewLeader = onNewLeader;
    }

    /** To be called often. */
    void tick() {
        JsonNode key = leaderKey();
        if (key != null && key.path("grant").longValue() != lastGrant) {
            lastGrant = key.path("grant").longValue();
            lastLeader = leaderIndex();
            leaderChanges++;
            onNewLeader.run();
        }
    }

    /** The name of the node that leads, or empty. */
    String leaderName() {
        JsonNode key = leaderKey();
        return key == null ? "" : key.path("node").asText();
    }

    /** Which of the nodes leads; fails where none does. */
    int leaderIndex() {
        return Integer.parseInt(leaderName().substring(NODE_PREFIX.length()));
    }

    /** Which of the nodes leads, or led last. */
    int lastLeaderIndex() {
        return lastLeader;
    }

    /** How often another leadership has begun. */
    int leaderChanges() {
        return leaderChanges;
    }

    /** The leader key that is in use, or null where nobody leads. */
    private JsonNode leaderKey() {
        JsonNode first = store.get("pepperfield/leader");
        return RolloutRules.isFence(first) ? store.get("pepperfield/v2/leader") : first;
    }
}
