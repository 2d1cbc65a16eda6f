package io.pepperfield.node;

import io.pepperfield.standin.Region;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Three controllers in a simulated region, with every rule of the protocol checked as things happen. Longer with
 * {@code -Dpepperfield.seeds=500}.
 */
class SimulationTest {

    @Test void aQuietDayEndsWithEveryJobOver() {
        Region region = new Region(1);
        for (int i = 1; i <= 12; i++) {
            int number = i;
            region.world.at(10 + 3 * i, () -> region.submit(number));
        }
        region.world.at(30, region::askForNothing);
        region.world.run(220);
        assertEquals(List.of(), region.broken);
        assertEquals(12, region.accepted());
        assertEquals(List.of(), region.unfinished());
        assertEquals(0, region.runningTasks());
    }

    @Test void anOutageOfTheStateServiceCostsNoRunningWork() {
        Region region = new Region(2);
        for (int i = 1; i <= 6; i++) {
            int number = i;
            region.world.at(10 + i, () -> region.submit(number));
        }
        region.world.at(24, () -> region.stateOutage(34));
        region.world.run(150);
        assertEquals(List.of(), region.broken);
        assertEquals(List.of(), region.unfinished());
    }

    @ParameterizedTest @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void noRuleBreaksWhateverFails(long seed) {
        run(seed);
    }

    @Test void noRuleBreaksOverManySeedsIfAskedFor() {
        for (long seed = 1000; seed < 1000 + Integer.getInteger("pepperfield.seeds", 3); seed++) {
            run(seed);
        }
    }

    private static void run(long seed) {
        Region region = new Region(seed);
        region.world.lost = 0.01;
        region.world.late = 0.005;
        for (int i = 1; i <= 40; i++) {
            int number = i;
            region.world.at(5 + 4 * i, () -> region.submit(number));
        }
        for (int i = 0; i < 14; i++) {
            region.world.at(20 + 11 * i, region::trouble);
            region.world.at(25 + 11 * i, region::askForNothing);
        }
        region.world.run(420);
        assertEquals(List.of(), region.broken, "seed " + seed);
        assertTrue(region.accepted() >= 35, "seed " + seed + " accepted " + region.accepted());
        assertEquals(List.of(), region.unfinished(), "seed " + seed);
    }
}
