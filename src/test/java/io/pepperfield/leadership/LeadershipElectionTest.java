package io.pepperfield.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.SimulatedLoop;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Checks how often elections are attempted while another controller holds the leader key. */
class LeadershipElectionTest implements NoOpKeyValueStore, Leadership.Listener {

    private static final double TTL_S = 1;
    private static final double TICK_S = 0.05;

    private final SimulatedLoop loop = new SimulatedLoop();
    private final Leadership leadership = new Leadership(loop, this, "node-1", TTL_S, this);
    private int elections;

    @Override
    public void createGrant(double ttlS, Consumer<GrantOutcome> done) {
        done.accept(new GrantOutcome.Granted(++elections));
    }

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done) {
        done.accept(new CompareAndSwapOutcome.Conflict(List.of("pepperfield/leader")));
    }

    private void tickUntil(double until) {
        while (loop.now() < until) {
            loop.run(loop.now() + TICK_S);
            leadership.tick();
        }
    }

    @Test
    void lostElectionsBackOffUntilALeaderIsObserved() {
        leadership.replicaLoaded();
        tickUntil(2 * TTL_S);
        int electionsBefore = elections;
        tickUntil(12 * TTL_S);
        assertTrue(
                elections - electionsBefore <= 10,
                elections - electionsBefore + " elections within ten lease TTLs");
        assertTrue(elections > electionsBefore, "no further election");
    }

    @Test
    void anElectionStartsPromptlyAfterTheLeaderKeyIsDeleted() {
        leadership.replicaLoaded();
        tickUntil(2 * TICK_S);
        int electionsBefore = elections;
        leadership.leaderKeyChanged(Json.object().put("node", "node-2").put("grant", 7), 40);
        leadership.leaderKeyChanged(null, 41);
        tickUntil(loop.now() + TTL_S / 5);
        assertTrue(elections > electionsBefore, "no election after the leader key was deleted");
    }

    @Override
    public void elected(FencingToken token) {}

    @Override
    public void fencingTokenRenewed(FencingToken token) {}

    @Override
    public void leadershipLost(String reason) {}
}
