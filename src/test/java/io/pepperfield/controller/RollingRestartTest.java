package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.SimulatedRegion;
import java.util.LinkedHashSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers that are restarted one after the other, in the order that costs most leaders. */
class RollingRestartTest {

    private static final double FIRST_RESTART_S = 20;
    private static final double BETWEEN_RESTARTS_S = 15;
    private static final double AWAY_S = 5;
    private static final int CONTROLLERS = 3;

    /**
     * Each restart hits the controller that leads, as long as it has not had its turn. Without a
     * preference for those that have, every one of them could cost a take-over.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void leadershipMovesToAnAlreadyRestartedController(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        Set<Integer> restarted = new LinkedHashSet<>();
        for (int turn = 0; turn < CONTROLLERS; turn++) {
            region.world.run(FIRST_RESTART_S + turn * BETWEEN_RESTARTS_S);
            int leading = region.leaderIndex();
            if (turn >= 2) {
                assertTrue(restarted.contains(leading), "seed " + seed + ": leads " + leading);
            }
            int next = restarted.contains(leading) ? firstWithoutTurn(restarted) : leading;
            restarted.add(next);
            region.faults.crash(next, AWAY_S);
        }
        int leadingBefore = region.leaderIndex();
        region.world.run(region.world.now() + BETWEEN_RESTARTS_S);
        assertEquals(leadingBefore, region.leaderIndex(), "seed " + seed);
    }

    private static int firstWithoutTurn(Set<Integer> restarted) {
        int index = 0;
        while (restarted.contains(index)) {
            index++;
        }
        return index;
    }
}
