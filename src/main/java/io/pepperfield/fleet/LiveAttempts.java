package io.pepperfield.fleet;

import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.ZoneCounts;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All live attempts by job, and the resources that they use by team. Updated incrementally, so that
 * the cost of a pass of the leader depends on the number of changes rather than the number of
 * attempts. Used on the owner thread only.
 */
public final class LiveAttempts {

    private static final ResourceUsage NO_USAGE = new ResourceUsage();

    private final Map<Job, Int2ObjectMap<Attempt>> byJob = new LinkedHashMap<>();
    private final Map<String, ResourceUsage> usageByTeam = new HashMap<>();
    private int size;

    /**
     * Adds a live attempt.
     *
     * @throws IllegalStateException if the same task already has a live attempt
     */
    public void add(Attempt attempt) {
        Attempt previous =
                byJob.computeIfAbsent(attempt.job, job -> new Int2ObjectOpenHashMap<>())
                        .put(attempt.task, attempt);
        if (previous != null) {
            // A task must never have two live attempts: the leader's state is inconsistent and
            // must not be used any further.
            throw new IllegalStateException(
                    "task already has a live attempt: task="
                            + attempt.taskRef
                            + " attempt="
                            + attempt.number
                            + " live="
                            + previous.number
                            + " instance="
                            + previous.machine.name);
        }
        size++;
        usageByTeam
                .computeIfAbsent(attempt.job.spec.team(), team -> new ResourceUsage())
                .add(attempt.job.spec);
    }

    /** Removes an attempt that has ended; does nothing if it is not recorded. */
    public void remove(Attempt attempt) {
        Int2ObjectMap<Attempt> tasks = byJob.get(attempt.job);
        if (tasks == null || tasks.get(attempt.task) != attempt) {
            return;
        }
        tasks.remove(attempt.task);
        if (tasks.isEmpty()) {
            byJob.remove(attempt.job);
        }
        size--;
        usageByTeam.get(attempt.job.spec.team()).remove(attempt.job.spec);
    }

    /** Returns the number of live attempts. */
    public int size() {
        return size;
    }

    /** Returns the live attempt of a task, or null if there is none. */
    public Attempt get(Job job, int task) {
        return byJob.getOrDefault(job, Int2ObjectMaps.emptyMap()).get(task);
    }

    /** Returns a copy of the job's live attempts, for loops that end some of them. */
    public List<Attempt> snapshot(Job job) {
        Int2ObjectMap<Attempt> tasks = byJob.get(job);
        return tasks == null ? List.of() : List.copyOf(tasks.values());
    }

    /** Whether the job has a live attempt. */
    public boolean hasAny(Job job) {
        return byJob.containsKey(job);
    }

    /** Returns the jobs with at least one live attempt. */
    public Collection<Job> jobs() {
        return byJob.keySet();
    }

    /** Returns a view of the live attempts of a job. */
    public Collection<Attempt> attemptsOf(Job job) {
        Int2ObjectMap<Attempt> tasks = byJob.get(job);
        return tasks == null ? List.of() : tasks.values();
    }

    /** Returns the number of live attempts of the job by zone. */
    public ZoneCounts countByZone(Job job) {
        ZoneCounts zones = new ZoneCounts();
        attemptsOf(job).forEach(attempt -> zones.add(attempt.machine.zone(), 1));
        return zones;
    }

    /** CPUs used by a team's live attempts. */
    public double usedCpus(String team) {
        return usageOf(team).cpus();
    }

    /** Accelerators used by a team's live attempts. */
    public double usedGpus(String team) {
        return usageOf(team).gpus();
    }

    /** CPUs used by a team's service replicas, which run until their users cancel them. */
    public double replicaCpus(String team) {
        return usageOf(team).replicaCpus();
    }

    /** Accelerators used by a team's service replicas. */
    public double replicaGpus(String team) {
        return usageOf(team).replicaGpus();
    }

    private ResourceUsage usageOf(String team) {
        return usageByTeam.getOrDefault(team, NO_USAGE);
    }
}
