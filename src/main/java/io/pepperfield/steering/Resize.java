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
     * @param share the part of a machine it takes, where the paper has one of l equal slots
     * @param count so many alike: an array of 100,000 tasks is one entry
     */
    public record Upcoming(double remainingS, double share, int count) {

        /** Creates the entry of a single task. */
        public Upcoming(double remainingS, double share) {
            this(remainingS, share, 1);
        }
    }

    private static final double SLACK = 1e-6;

    private Resize() {}

    /**
     * @param unitS the charging unit u
     * @param partlyShare the part of u that a task must have left for a partly filled last machine
     *     to count
     */
    public static int machines(List<Upcoming> tasks, double unitS, double partlyShare) {
        // What has nothing left, as far as is known, fills no slot for any time.
        ArrayDeque<Upcoming> queue =
                new ArrayDeque<>(tasks.stream().filter(task -> task.remainingS > 0).toList());
        List<Upcoming> slots = new ArrayList<>();
        int machines = 0;
        double usedS = 0;
        double taken = 0;
        while (true) {
            if (slots.isEmpty() && usedS == 0 && !queue.isEmpty()) {
                machines += whole(queue, unitS);
            }
            while (!queue.isEmpty()
                    && (slots.isEmpty() || taken + queue.peek().share() <= 1 + SLACK)) {
                Upcoming task = next(queue);
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

    /** The first of the waiting tasks, one of several alike. */
    private static Upcoming next(ArrayDeque<Upcoming> queue) {
        Upcoming group = queue.poll();
        if (group.count > 1) {
            queue.addFirst(new Upcoming(group.remainingS, group.share, group.count - 1));
        }
        return new Upcoming(group.remainingS, group.share);
    }

    /**
     * The machines that the first group fills by itself, in one reckoning: the same that task after
     * task would come to.
     */
    private static int whole(ArrayDeque<Upcoming> queue, double unitS) {
        Upcoming group = queue.peek();
        int slots = Math.max(1, (int) Math.floor((1 + SLACK) / Math.max(SLACK, group.share)));
        // A task that is longer than the unit fills its slot alone; of shorter ones several follow
        // each other.
        double each = slots * Math.max(1, Math.ceil(unitS / group.remainingS - SLACK));
        int machines = (int) (group.count / each);
        int left = group.count - (int) (machines * each);
        if (machines > 0) {
            queue.poll();
            if (left > 0) {
                queue.addFirst(new Upcoming(group.remainingS, group.share, left));
            }
        }
        return machines;
    }
}
