package io.pepperfield.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.SimulatedLoop;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** How often a candidate stands while another has the leader key. */
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
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
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
        int before = elections;
        tickUntil(12 * TTL_S);
        assertTrue(elections - before <= 10, elections - before + " elections in ten grants");
        assertTrue(elections > before, "gave up");
    }

    @Test
    void anElectionStartsPromptlyAfterTheLeaderKeyIsDeleted() {
        leadership.replicaLoaded();
        tickUntil(2 * TICK_S);
        int before = elections;
        leadership.leaderKeyChanged(Json.object().put("node", "node-2").put("grant", 7), 40);
        leadership.leaderKeyChanged(null, 41);
        tickUntil(loop.now() + TTL_S / 5);
        assertTrue(elections > before, "does not stand");
    }

    @Override
    public void elected(FencingToken token) {}

    @Override
    public void fencingTokenRenewed(FencingToken token) {}

    @Override
    public void leadershipLost(String why) {}
}
