package io.pepperfield.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * WIRE's algorithm 3 (Xie et al., "WIRE: Resource-efficient Scaling with Online Prediction for
 * DAG-based Workflows"): computes how many machines the upcoming tasks keep busy for a billing
 * unit. Stateless.
 */
public final class MachineCountEstimator {

    /**
     * A group of identical tasks that are expected to be active when the next interval begins.
     *
     * @param remainingS predicted minimum remaining time in seconds; infinite for a replica
     * @param machineShare fraction of a machine that each task uses; the paper has l equal slots
     *     per machine instead
     * @param taskCount number of tasks; an array of 100,000 tasks is one group
     */
    public record UpcomingTasks(double remainingS, double machineShare, int taskCount) {

        /** Creates a group of a single task. */
        public UpcomingTasks(double remainingS, double machineShare) {
            this(remainingS, machineShare, 1);
        }
    }

    private static final double ROUNDING_TOLERANCE = 1e-6;

    private MachineCountEstimator() {}

    /**
     * Returns the number of machines that the tasks keep busy for a billing unit each.
     *
     * @param billingUnitS the billing unit u in seconds
     * @param partialMachineShare fraction of u that a task must have remaining for a partially
     *     filled last machine to count
     */
    public static int requiredMachines(
            List<UpcomingTasks> tasks, double billingUnitS, double partialMachineShare) {
        Simulation simulation = new Simulation(tasks, billingUnitS);
        simulation.run();
        double minRemainingS = partialMachineShare * billingUnitS;
        boolean partlyFilled =
                simulation.slots.stream().anyMatch(slot -> slot.remainingS() > minRemainingS);
        // Keep at least one machine while there are tasks, even if their run time is not known yet.
        boolean oneMore = partlyFilled || simulation.machines == 0 && !tasks.isEmpty();
        return oneMore ? simulation.machines + 1 : simulation.machines;
    }

    /** Fills one machine after another with tasks, each for a billing unit. */
    private static final class Simulation {
        private final double billingUnitS;
        private final ArrayDeque<UpcomingTasks> queue;

        /** The tasks on the machine that is being filled. */
        private List<UpcomingTasks> slots = new ArrayList<>();

        private int machines;

        /** Seconds for which the machine that is being filled has been full. */
        private double fullyOccupiedS;

        private double occupiedShare;

        Simulation(List<UpcomingTasks> tasks, double billingUnitS) {
            this.billingUnitS = billingUnitS;
            // Tasks with no predicted time remaining occupy no slot.
            this.queue =
                    new ArrayDeque<>(tasks.stream().filter(task -> task.remainingS > 0).toList());
        }

        void run() {
            do {
                fillMachine();
                if (queue.isEmpty() && occupiedShare < 1 - ROUNDING_TOLERANCE) {
                    return;
                }
                advanceToNextCompletion();
                occupiedShare = slots.stream().mapToDouble(UpcomingTasks::machineShare).sum();
            } while (!slots.isEmpty() || !queue.isEmpty());
        }

        private void fillMachine() {
            if (slots.isEmpty() && fullyOccupiedS == 0 && !queue.isEmpty()) {
                machines += dequeueFullMachines(queue, billingUnitS);
            }
            while (!queue.isEmpty() && (slots.isEmpty() || nextFits())) {
                UpcomingTasks task = dequeueTask(queue);
                slots.add(task);
                occupiedShare += task.machineShare();
            }
        }

        private boolean nextFits() {
            return occupiedShare + queue.peek().machineShare() <= 1 + ROUNDING_TOLERANCE;
        }

        /**
         * Advances to the end of the shortest task. The machine counts once it has been full for a
         * billing unit.
         */
        private void advanceToNextCompletion() {
            double shortestS =
                    slots.stream().mapToDouble(UpcomingTasks::remainingS).min().orElse(0);
            fullyOccupiedS += shortestS;
            if (fullyOccupiedS >= billingUnitS) {
                machines++;
                fullyOccupiedS = 0;
                slots.clear();
                return;
            }
            List<UpcomingTasks> remaining = new ArrayList<>();
            for (UpcomingTasks slot : slots) {
                if (slot.remainingS() > shortestS) {
                    remaining.add(
                            new UpcomingTasks(slot.remainingS() - shortestS, slot.machineShare()));
                }
            }
            slots = remaining;
        }
    }

    /** Removes one task from the first group. */
    private static UpcomingTasks dequeueTask(ArrayDeque<UpcomingTasks> queue) {
        UpcomingTasks group = queue.poll();
        if (group.taskCount > 1) {
            queue.addFirst(
                    new UpcomingTasks(group.remainingS, group.machineShare, group.taskCount - 1));
        }
        return new UpcomingTasks(group.remainingS, group.machineShare);
    }

    /**
     * Returns the number of machines that the first group fills by itself, and removes their tasks
     * from the queue. Computed at once, with the same result as filling the machines task by task.
     */
    private static int dequeueFullMachines(ArrayDeque<UpcomingTasks> queue, double billingUnitS) {
        UpcomingTasks group = queue.peek();
        double share = Math.max(ROUNDING_TOLERANCE, group.machineShare);
        int slotsPerMachine = Math.max(1, (int) Math.floor((1 + ROUNDING_TOLERANCE) / share));
        // A task that is longer than the billing unit occupies its slot alone; shorter tasks run in
        // sequence.
        double tasksPerSlot =
                Math.max(1, Math.ceil(billingUnitS / group.remainingS - ROUNDING_TOLERANCE));
        double tasksPerMachine = slotsPerMachine * tasksPerSlot;
        int machines = (int) (group.taskCount / tasksPerMachine);
        int left = group.taskCount - (int) (machines * tasksPerMachine);
        if (machines > 0) {
            queue.poll();
            if (left > 0) {
                queue.addFirst(new UpcomingTasks(group.remainingS, group.machineShare, left));
            }
        }
        return machines;
    }
}
