package io.pepperfield.steering;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** WIRE's algorithm 3: how many machines the upcoming tasks keep busy for a charging unit. */
public final class Resize {

    /**
     * A task expected to be active when the next interval begins.
     *
     * @param remainingS its predicted least remaining time; infinite for a replica
     * @param share      the part of a machine it takes, where the paper has one of l equal slots
     */
    public record Upcoming(double remainingS, double share) { }

    private static final double SLACK = 1e-6;

    private Resize() { }

    /**
     * @param unitS       the charging unit u
     * @param partlyShare the part of u that a task must have left for a partly filled last machine to count
     */
    public static int machines(List<Upcoming> tasks, double unitS, double partlyShare) {
        ArrayDeque<Upcoming> queue = new ArrayDeque<>(tasks);
        List<Upcoming> slots = new ArrayList<>();
        int machines = 0;
        double usedS = 0;
        double taken = 0;
        while (true) {
            while (!queue.isEmpty() && (slots.isEmpty() || taken + queue.peek().share() <= 1 + SLACK)) {
                Upcoming task = queue.poll();
                slots.add(task);
                taken += task.share();
            }
            if (queue.isEmpty() && taken < 1 - SLACK) {
                break;
            }
            double least = slots.stream().mapToDouble(Upcoming::remainingS).min().orElse(0);
            usedS += least;
            if (usedS >= unitS) {
                machines++;
                usedS = 0;
                slots.clear();
            } else {
                List<Upcoming> left = new ArrayList<>();
                for (Upcoming slot : slots) {
                    if (slot.remainingS() > least) {
                        left.add(new Upcoming(slot.remainingS() - least, slot.share()));
                    }
                }
                slots = left;
            }
            taken = slots.stream().mapToDouble(Upcoming::share).sum();
            if (slots.isEmpty() && queue.isEmpty()) {
                break;
            }
        }
        boolean partly = slots.stream().anyMatch(slot -> slot.remainingS() > partlyShare * unitS);
        // At least one stays while tasks wait, also when nothing is known of their length yet.
        return partly || machines == 0 && !tasks.isEmpty() ? machines + 1 : machines;
    }
}
