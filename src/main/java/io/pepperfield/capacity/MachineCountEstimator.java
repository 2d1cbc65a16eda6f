package io.pepperfield.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** WIRE's algorithm 3: how many machines the upcoming tasks keep busy for a charging unit. */
public final class MachineCountEstimator {

    /**
     * A task expected to be active when the next interval begins.
     *
     * @param remainingS its predicted least remaining time; infinite for a replica
     * @param machineShare the part of a machine it takes, where the paper has one of l equal slots
     * @param taskCount so many alike: an array of 100,000 tasks is one entry
     */
    public record UpcomingTasks(double remainingS, double machineShare, int taskCount) {

        /** Creates the entry of a single task. */
        public UpcomingTasks(double remainingS, double machineShare) {
            this(remainingS, machineShare, 1);
        }
    }

    private static final double ROUNDING_TOLERANCE = 1e-6;

    private MachineCountEstimator() {}

    /**
     * @param unitS the charging unit u
     * @param partlyShare the part of u that a task must have left for a partly filled last machine
     *     to count
     */
    public static int requiredMachines(
            List<UpcomingTasks> tasks, double unitS, double partlyShare) {
        // What has nothing left, as far as is known, fills no slot for any time.
        ArrayDeque<UpcomingTasks> queue =
                new ArrayDeque<>(tasks.stream().filter(task -> task.remainingS > 0).toList());
        List<UpcomingTasks> slots = new ArrayList<>();
        int machines = 0;
        double usedS = 0;
        double taken = 0;
        while (true) {
            if (slots.isEmpty() && usedS == 0 && !queue.isEmpty()) {
                machines += takeWholeMachines(queue, unitS);
            }
            while (!queue.isEmpty()
                    && (slots.isEmpty()
                            || taken + queue.peek().machineShare() <= 1 + ROUNDING_TOLERANCE)) {
                UpcomingTasks task = takeNextTask(queue);
                slots.add(task);
                taken += task.machineShare();
            }
            if (queue.isEmpty() && taken < 1 - ROUNDING_TOLERANCE) {
                break;
            }
            double least = slots.stream().mapToDouble(UpcomingTasks::remainingS).min().orElse(0);
            usedS += least;
            if (usedS >= unitS) {
                machines++;
                usedS = 0;
                slots.clear();
            } else {
                List<UpcomingTasks> left = new ArrayList<>();
                for (UpcomingTasks slot : slots) {
                    if (slot.remainingS() > least) {
                        left.add(new UpcomingTasks(slot.remainingS() - least, slot.machineShare()));
                    }
                }
                slots = left;
            }
            taken = slots.stream().mapToDouble(UpcomingTasks::machineShare).sum();
            if (slots.isEmpty() && queue.isEmpty()) {
                break;
            }
        }
        boolean partly = slots.stream().anyMatch(slot -> slot.remainingS() > partlyShare * unitS);
        // At least one stays while tasks wait, also when nothing is known of their length yet.
        return partly || machines == 0 && !tasks.isEmpty() ? machines + 1 : machines;
    }

    /** The first of the waiting tasks, one of several alike. */
    private static UpcomingTasks takeNextTask(ArrayDeque<UpcomingTasks> queue) {
        UpcomingTasks group = queue.poll();
        if (group.taskCount > 1) {
            queue.addFirst(
                    new UpcomingTasks(group.remainingS, group.machineShare, group.taskCount - 1));
        }
        return new UpcomingTasks(group.remainingS, group.machineShare);
    }

    /**
     * The machines that the first group fills by itself, in one reckoning: the same that task after
     * task would come to.
     */
    private static int takeWholeMachines(ArrayDeque<UpcomingTasks> queue, double unitS) {
        UpcomingTasks group = queue.peek();
        int slots =
                Math.max(
                        1,
                        (int)
                                Math.floor(
                                        (1 + ROUNDING_TOLERANCE)
                                                / Math.max(
                                                        ROUNDING_TOLERANCE, group.machineShare)));
        // A task that is longer than the unit fills its slot alone; of shorter ones several follow
        // each other.
        double each = slots * Math.max(1, Math.ceil(unitS / group.remainingS - ROUNDING_TOLERANCE));
        int machines = (int) (group.taskCount / each);
        int left = group.taskCount - (int) (machines * each);
        if (machines > 0) {
            queue.poll();
            if (left > 0) {
                queue.addFirst(new UpcomingTasks(group.remainingS, group.machineShare, left));
            }
        }
        return machines;
    }
}
