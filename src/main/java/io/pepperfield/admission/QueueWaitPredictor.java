package io.pepperfield.admission;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicts how long new tasks of a team wait before they start: the number of queued tasks divided
 * by the rate at which the team's tasks start. The prediction is bounded by a multiple of the
 * oldest wait in the queue: while no task has waited long, machines may still be booting, and a
 * start rate that has been measured only briefly is unreliable.
 */
public final class QueueWaitPredictor {

    /** Weight of earlier measurements in the moving average of the start rate, per second. */
    private static final double RATE_SMOOTHING = 0.9;

    /** Upper bound of a predicted wait, as a multiple of the oldest task's wait so far. */
    private static final double MAX_OLDEST_WAIT_MULTIPLE = 4;

    /** The pending tasks of one team and priority. */
    private static final class Queue {
        int waitingTasks;
        double oldestWaitS;
        int starts;
        double startsPerS;
    }

    private final Map<String, Map<JobSpec.Priority, Queue>> queuesByTeam = new HashMap<>();
    private double updatedAt;

    /** Creates a predictor without queues; {@code now} is a loop time. */
    public QueueWaitPredictor(double now) {
        updatedAt = now;
    }

    /** Counts the start of a task of a team and priority. */
    public void recordStart(String team, JobSpec.Priority priority) {
        queue(team, priority).starts++;
    }

    /** Clears the counts of pending tasks before a recount. */
    public void beginRecount() {
        queuesByTeam
                .values()
                .forEach(
                        queuesByPriority ->
                                queuesByPriority.values().forEach(QueueWaitPredictor::clear));
    }

    private static void clear(Queue queue) {
        queue.waitingTasks = 0;
        queue.oldestWaitS = 0;
    }

    /**
     * Adds the pending tasks of a job, the oldest of which has waited for {@code waitedS} seconds.
     */
    public void addWaiting(String team, JobSpec.Priority priority, int tasks, double waitedS) {
        Queue queue = queue(team, priority);
        queue.waitingTasks += tasks;
        queue.oldestWaitS = Math.max(queue.oldestWaitS, waitedS);
    }

    /** Ends a recount and updates the start rates up to now. */
    public void finishRecount(double now) {
        double seconds = now - updatedAt;
        if (seconds <= 0) {
            return;
        }
        updatedAt = now;
        double decay = Math.pow(RATE_SMOOTHING, seconds);
        for (Map<JobSpec.Priority, Queue> queuesByPriority : queuesByTeam.values()) {
            for (Queue queue : queuesByPriority.values()) {
                queue.startsPerS = decay * queue.startsPerS + (1 - decay) * queue.starts / seconds;
                queue.starts = 0;
            }
        }
    }

    /** Returns the queues whose predicted wait is at least {@code minWaitS}. */
    public List<QueueWait> waitsOfAtLeast(double minWaitS) {
        List<QueueWait> waits = new ArrayList<>();
        queuesByTeam.forEach(
                (team, queuesByPriority) -> addWaits(team, queuesByPriority, minWaitS, waits));
        return waits;
    }

    /**
     * Adds the predicted waits of a team's queues. Tasks of a higher priority start first, so a
     * task waits for its own queue and for those of higher priorities.
     */
    private static void addWaits(
            String team,
            Map<JobSpec.Priority, Queue> queuesByPriority,
            double minWaitS,
            List<QueueWait> waits) {
        int tasks = 0;
        double startsPerS = 0;
        double oldestS = 0;
        for (Map.Entry<JobSpec.Priority, Queue> entry : queuesByPriority.entrySet()) {
            Queue queue = entry.getValue();
            tasks += queue.waitingTasks;
            startsPerS += queue.startsPerS;
            oldestS = Math.max(oldestS, queue.oldestWaitS);
            double drainS = startsPerS > 0 ? tasks / startsPerS : Double.MAX_VALUE;
            double waitS = Math.min(drainS, MAX_OLDEST_WAIT_MULTIPLE * oldestS);
            if (tasks > 0 && waitS >= minWaitS) {
                waits.add(new QueueWait(team, entry.getKey(), waitS));
            }
        }
    }

    private Queue queue(String team, JobSpec.Priority priority) {
        return queuesByTeam
                .computeIfAbsent(team, key -> new EnumMap<>(JobSpec.Priority.class))
                .computeIfAbsent(priority, key -> new Queue());
    }
}
