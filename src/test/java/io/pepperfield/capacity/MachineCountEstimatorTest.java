package io.pepperfield.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.ReplayTrace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of WIRE's algorithm 3: the machines that upcoming tasks need. */
class MachineCountEstimatorTest {

    @Test
    void requiredMachinesMatchTheTrace() throws IOException {
        ReplayTrace.check("resize.txt", MachineCountEstimatorTest::runTraceCommand);
    }

    @Test
    void demandWeightOfOverdueWorkIsOne() {
        assertEquals(0.5, CapacityPlanner.demandWeight(10, 20));
        assertEquals(1, CapacityPlanner.demandWeight(30, 20));
        assertEquals(1, CapacityPlanner.demandWeight(0, -5));
        assertEquals(1, CapacityPlanner.demandWeight(0, 0));
        assertEquals(0, CapacityPlanner.demandWeight(0, 20));
    }

    /** machines COUNTxREMAINING/SLOTS ... with u = 60 and a fifth of it for the last machine. */
    private static List<String> runTraceCommand(String[] words) {
        List<MachineCountEstimator.UpcomingTasks> tasks = new ArrayList<>();
        List<MachineCountEstimator.UpcomingTasks> grouped = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            String[] part = words[i].split("[x/]");
            double remaining =
                    part[1].equals("ever") ? Double.POSITIVE_INFINITY : Double.parseDouble(part[1]);
            grouped.add(
                    new MachineCountEstimator.UpcomingTasks(
                            remaining, 1 / Double.parseDouble(part[2]), Integer.parseInt(part[0])));
            for (int n = 0; n < Integer.parseInt(part[0]); n++) {
                tasks.add(
                        new MachineCountEstimator.UpcomingTasks(
                                remaining, 1 / Double.parseDouble(part[2])));
            }
        }
        int machines = MachineCountEstimator.requiredMachines(tasks, 60, 0.2);
        assertEquals(
                machines,
                MachineCountEstimator.requiredMachines(grouped, 60, 0.2),
                "alike tasks in one entry count as they do one by one");
        return List.of(String.valueOf(machines));
    }
}
