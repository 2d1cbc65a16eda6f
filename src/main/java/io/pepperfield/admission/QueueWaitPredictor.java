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
    private static final double KEPT = 0.9;

    /** A queue's wait may be predicted at most as so many times what its oldest task has waited. */
    private static final double TIMES_OLDEST = 4;

    /** The tasks that wait of one team and rank. */
    private static final class Queue {
        int tasks;
        double oldestS;
        int started;
        double startsPerS;
    }

    private final Map<String, Map<JobSpec.Rank, Queue>> teams = new HashMap<>();
    private double updatedAt;

    /** Begins without a queue; {@code now} is a loop time. */
    public QueueWaitPredictor(double now) {
        updatedAt = now;
    }

    /** A task of that team and rank has begun to run. */
    public void started(String team, JobSpec.Rank rank) {
        queue(team, rank).started++;
    }

    /** Forgets which tasks wait, so that they can be counted anew. */
    public void recount() {
        teams.values().forEach(ranks -> ranks.values().forEach(QueueWaitPredictor::clear));
    }

    private static void clear(Queue queue) {
        queue.tasks = 0;
        queue.oldestS = 0;
    }

    /** So many tasks of a job wait, the first of them for so many seconds. */
    public void waiting(String team, JobSpec.Rank rank, int tasks, double waitedS) {
        Queue queue = queue(team, rank);
        queue.tasks += tasks;
        queue.oldestS = Math.max(queue.oldestS, waitedS);
    }

    /** All that waits has been counted; the rates of starts are measured up to now. */
    public void counted(double now) {
        double seconds = now - updatedAt;
        if (seconds <= 0) {
            return;
        }
        updatedAt = now;
        double kept = Math.pow(KEPT, seconds);
        for (Map<JobSpec.Rank, Queue> ranks : teams.values()) {
            for (Queue queue : ranks.values()) {
                queue.startsPerS = kept * queue.startsPerS + (1 - kept) * queue.started / seconds;
                queue.started = 0;
            }
        }
    }

    /** The queues whose predicted waiting is at least that long. */
    public List<QueueWait> waitsFrom(double leastS) {
        List<QueueWait> waits = new ArrayList<>();
        teams.forEach((team, ranks) -> addWaits(team, ranks, leastS, waits));
        return waits;
    }

    /** What ranks higher begins first: a rank waits for its own queue and for those above. */
    private static void addWaits(
            String team, Map<JobSpec.Rank, Queue> ranks, double leastS, List<QueueWait> waits) {
        int tasks = 0;
        double startsPerS = 0;
        double oldestS = 0;
        for (Map.Entry<JobSpec.Rank, Queue> entry : ranks.entrySet()) {
            Queue queue = entry.getValue();
            tasks += queue.tasks;
            startsPerS += queue.startsPerS;
            oldestS = Math.max(oldestS, queue.oldestS);
            double drainS = startsPerS > 0 ? tasks / startsPerS : Double.MAX_VALUE;
            double waitS = Math.min(drainS, TIMES_OLDEST * oldestS);
            if (tasks > 0 && waitS >= leastS) {
                waits.add(new QueueWait(team, entry.getKey(), waitS));
            }
        }
    }

    private Queue queue(String team, JobSpec.Rank rank) {
        return teams.computeIfAbsent(team, t -> new EnumMap<>(JobSpec.Rank.class))
                .computeIfAbsent(rank, r -> new Queue());
    }
}
