package io.pepperfield.fleet;

import io.pepperfield.jobs.Job;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All attempts that may be alive, by job, with what those of each team use of its limit. Updated as
 * attempts come and go, so that a pass of the leader costs what changes and not what exists. Used
 * on the owner thread only.
 */
public final class LiveAttempts {

    private static final ResourceUsage NO_USAGE = new ResourceUsage();

    private final Map<Job, Int2ObjectMap<Attempt>> byJob = new LinkedHashMap<>();
    private final Map<String, ResourceUsage> usageByTeam = new HashMap<>();
    private int size;

    /**
     * Adds an attempt that may be alive.
     *
     * @throws IllegalStateException where another attempt at the same task may be alive
     */
    public void add(Attempt attempt) {
        Attempt previous =
                byJob.computeIfAbsent(attempt.job, job -> new Int2ObjectOpenHashMap<>())
                        .put(attempt.task, attempt);
        if (previous != null) {
            // A task must never be alive twice: this state is not to be trusted any further.
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

    /** Removes an attempt that has ended; one that is not recorded changes nothing. */
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

    /** The number of attempts that may be alive. */
    public int size() {
        return size;
    }

    /** The live attempt at a task, or null where there is none. */
    public Attempt get(Job job, int task) {
        return byJob.getOrDefault(job, Int2ObjectMaps.emptyMap()).get(task);
    }

    /** The job's live attempts as a copy, for loops that end some of them. */
    public List<Attempt> snapshot(Job job) {
        Int2ObjectMap<Attempt> tasks = byJob.get(job);
        return tasks == null ? List.of() : List.copyOf(tasks.values());
    }

    /** Whether any attempt of the job may be alive. */
    public boolean hasAny(Job job) {
        return byJob.containsKey(job);
    }

    /** The jobs with at least one attempt that may be alive. */
    public Collection<Job> jobs() {
        return byJob.keySet();
    }

    /** The attempts of a job that may be alive, as a view. */
    public Collection<Attempt> attemptsOf(Job job) {
        Int2ObjectMap<Attempt> tasks = byJob.get(job);
        return tasks == null ? List.of() : tasks.values();
    }

    /** How many of the job's tasks may be alive in each zone. */
    public Map<String, Integer> countByZone(Job job) {
        Map<String, Integer> zones = new HashMap<>();
        attemptsOf(job).forEach(attempt -> zones.merge(attempt.machine.zone(), 1, Integer::sum));
        return zones;
    }

    /** CPUs that a team's live attempts take. */
    public double usedCpus(String team) {
        return usageOf(team).cpus();
    }

    /** Accelerators that a team's live attempts take. */
    public double usedGpus(String team) {
        return usageOf(team).gpus();
    }

    /** CPUs that a team's service replicas take, which end only when their users say so. */
    public double replicaCpus(String team) {
        return usageOf(team).replicaCpus();
    }

    /** Accelerators that a team's service replicas take. */
    public double replicaGpus(String team) {
        return usageOf(team).replicaGpus();
    }

    private ResourceUsage usageOf(String team) {
        return usageByTeam.getOrDefault(team, NO_USAGE);
    }
}
