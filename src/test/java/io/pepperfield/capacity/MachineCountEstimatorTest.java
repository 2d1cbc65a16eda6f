package io.pepperfield.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.ReplayTrace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests WIRE's algorithm 3: the number of machines that upcoming tasks need. */
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

    /**
     * Runs {@code machines COUNTxREMAINING/SLOTS ...} with a billing unit of 60 s and a partial
     * machine share of 0.2.
     */
    private static List<String> runTraceCommand(String[] words) {
        List<MachineCountEstimator.UpcomingTasks> singleTasks = new ArrayList<>();
        List<MachineCountEstimator.UpcomingTasks> groupedTasks = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            String[] fields = words[i].split("[x/]");
            double remaining =
                    fields[1].equals("ever")
                            ? Double.POSITIVE_INFINITY
                            : Double.parseDouble(fields[1]);
            groupedTasks.add(
                    new MachineCountEstimator.UpcomingTasks(
                            remaining,
                            1 / Double.parseDouble(fields[2]),
                            Integer.parseInt(fields[0])));
            for (int n = 0; n < Integer.parseInt(fields[0]); n++) {
                singleTasks.add(
                        new MachineCountEstimator.UpcomingTasks(
                                remaining, 1 / Double.parseDouble(fields[2])));
            }
        }
        int machines = MachineCountEstimator.requiredMachines(singleTasks, 60, 0.2);
        assertEquals(
                machines,
                MachineCountEstimator.requiredMachines(groupedTasks, 60, 0.2),
                "identical tasks need as many machines grouped as listed one by one");
        return List.of(String.valueOf(machines));
    }
}
