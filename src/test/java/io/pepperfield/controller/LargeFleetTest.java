package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.SimulatedRegion;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that no limit within a controller is below a fleet of more than 4,000 machines. Run this
 * test alone with {@code -DargLine=-Xmx128m}, the heap size that controllers are deployed with;
 * here all controllers and stand-ins share that heap.
 */
class LargeFleetTest {

    private static final int MACHINES = 4500;
    private static final int CPUS = 8;

    @Test
    void allMachinesOfALargeFleetAreRentedAndRunTasks() {
        SimulatedRegion region = SimulatedRegion.withRentableMachines(1, MACHINES);
        region.world.run(5);
        // Machines are rented for about half of the deferrable work at a time.
        int arrays = 40;
        for (int number = 1; number <= arrays; number++) {
            region.jobMix.submitWide(number, 2 * MACHINES / arrays, CPUS);
        }
        long startNanos = System.nanoTime();
        int peakTasks = 0;
        for (int second = 6; second <= 60; second++) {
            region.world.run(second);
            peakTasks = Math.max(peakTasks, region.runningTaskCount());
        }
        Runtime runtime = Runtime.getRuntime();
        System.out.printf(
                "%d machines, %d concurrent tasks, %.1f s of real time, maximum heap %d MB%n",
                region.machines().size(),
                peakTasks,
                (System.nanoTime() - startNanos) / 1e9,
                runtime.maxMemory() / (1024 * 1024));
        assertEquals(List.of(), region.violations);
        assertTrue(region.machines().size() >= MACHINES, region.machines().size() + " machines");
        assertTrue(peakTasks >= MACHINES, peakTasks + " concurrent tasks");
    }
}
