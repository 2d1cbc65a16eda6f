package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.SimulatedRegion;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A fleet beyond 4,000 machines: nothing in a controller is bounded below that. To be run by itself
 * with {@code -DargLine=-Xmx128m}, the heap that a controller is deployed with; all controllers and
 * stand-ins share it here.
 */
class LargeFleetTest {

    private static final int MACHINES = 4500;
    private static final int CPUS = 8;

    @Test
    void fourAndAHalfThousandMachinesAreRentedAndAllWork() {
        SimulatedRegion region = SimulatedRegion.withRentableMachines(1, MACHINES);
        region.world.run(5);
        // What may wait has machines for about half of it at a time.
        int arrays = 40;
        for (int number = 1; number <= arrays; number++) {
            region.jobMix.submitWide(number, 2 * MACHINES / arrays, CPUS);
        }
        long began = System.nanoTime();
        int most = 0;
        for (int second = 6; second <= 60; second++) {
            region.world.run(second);
            most = Math.max(most, region.runningTaskCount());
        }
        Runtime runtime = Runtime.getRuntime();
        System.out.printf(
                "%d machines, %d tasks at once, %.1f s of real time, heap of at most %d MB%n",
                region.machines().size(),
                most,
                (System.nanoTime() - began) / 1e9,
                runtime.maxMemory() / (1024 * 1024));
        assertEquals(List.of(), region.violations);
        assertTrue(region.machines().size() >= MACHINES, region.machines().size() + " machines");
        assertTrue(most >= MACHINES, most + " tasks at once");
    }
}
