package io.pepperfield.admission;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicts how long new work of a team waits before it begins: the tasks that wait before it,
 * divided by the rate at which the team's tasks begin. What the queue has shown so far bounds it:
 * while nothing of it has waited long, machines may still be booting for it, and a rate that has
 * only just begun to be measured says little.
 */
public final class QueueWaitPredictor {

    /** Of the starts measured before, in the running mean of their rate. */
    private static final double RATE_SMOOTHING = 0.9;

    /** A queue's wait may be predicted at most as so many times what its oldest task has waited. */
    private static final double MAX_OLDEST_WAIT_MULTIPLE = 4;

    /** The tasks that wait of one team and priority. */
    private static final class Queue {
        int waitingTasks;
        double oldestWaitS;
        int starts;
        double startsPerS;
    }

    private final Map<String, Map<JobSpec.Priority, Queue>> queuesByTeam = new HashMap<>();
    private double updatedAt;

    /** Begins without a queue; {@code now} is a loop time. */
    public QueueWaitPredictor(double now) {
        updatedAt = now;
    }

    /** A task of that team and priority has begun to run. */
    public void recordStart(String team, JobSpec.Priority priority) {
        queue(team, priority).starts++;
    }

    /** Forgets which tasks wait, so that they can be counted anew. */
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

    /** So many tasks of a job wait, the first of them for so many seconds. */
    public void addWaiting(String team, JobSpec.Priority priority, int tasks, double waitedS) {
        Queue queue = queue(team, priority);
        queue.waitingTasks += tasks;
        queue.oldestWaitS = Math.max(queue.oldestWaitS, waitedS);
    }

    /** All that waits has been counted; the rates of starts are measured up to now. */
    public void finishRecount(double now) {
        double seconds = now - updatedAt;
        if (seconds <= 0) {
            return;
        }
        updatedAt = now;
        double kept = Math.pow(RATE_SMOOTHING, seconds);
        for (Map<JobSpec.Priority, Queue> queuesByPriority : queuesByTeam.values()) {
            for (Queue queue : queuesByPriority.values()) {
                queue.startsPerS = kept * queue.startsPerS + (1 - kept) * queue.starts / seconds;
                queue.starts = 0;
            }
        }
    }

    /** The queues whose predicted waiting is at least that long. */
    public List<QueueWait> waitsOfAtLeast(double leastS) {
        List<QueueWait> waits = new ArrayList<>();
        queuesByTeam.forEach(
                (team, queuesByPriority) -> addWaits(team, queuesByPriority, leastS, waits));
        return waits;
    }

    /**
     * What has a higher priority begins first: a priority waits for its own queue and for those
     * above.
     */
    private static void addWaits(
            String team,
            Map<JobSpec.Priority, Queue> queuesByPriority,
            double leastS,
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
            if (tasks > 0 && waitS >= leastS) {
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
