package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.SimulatedRegion;
import java.util.LinkedHashSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A rolling restart of all controllers, in the order that causes the most leader changes. */
class RollingRestartTest {

    private static final double FIRST_RESTART_S = 20;
    private static final double RESTART_INTERVAL_S = 15;
    private static final double DOWNTIME_S = 5;
    private static final int CONTROLLERS = 3;

    /**
     * Each restart hits the leader, unless it was already restarted. If elections did not prefer
     * controllers that were already restarted, every restart could cause a takeover.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void leadershipMovesToAnAlreadyRestartedController(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        Set<Integer> restarted = new LinkedHashSet<>();
        for (int turn = 0; turn < CONTROLLERS; turn++) {
            region.world.run(FIRST_RESTART_S + turn * RESTART_INTERVAL_S);
            int leader = region.leaderIndex();
            if (turn >= 2) {
                assertTrue(restarted.contains(leader), "seed " + seed + ": leader is " + leader);
            }
            int next = restarted.contains(leader) ? firstNotRestarted(restarted) : leader;
            restarted.add(next);
            region.faults.crash(next, DOWNTIME_S);
        }
        int leaderBefore = region.leaderIndex();
        region.world.run(region.world.now() + RESTART_INTERVAL_S);
        assertEquals(leaderBefore, region.leaderIndex(), "seed " + seed);
    }

    private static int firstNotRestarted(Set<Integer> restarted) {
        int index = 0;
        while (restarted.contains(index)) {
            index++;
        }
        return index;
    }
}
