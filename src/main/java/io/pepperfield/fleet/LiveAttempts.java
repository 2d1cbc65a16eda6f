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
 * All attempts that may be alive, by job, with what each team's take of its limit. Kept as attempts
 * come and go, so that a step of the leader costs what it changes and not what there is.
 */
public final class LiveAttempts {

    /** What the live attempts of one team take in all, and its replicas among them. */
    private static final class TeamUsage {
        int attempts;
        double cpus;
        double gpus;
        int replicas;
        double replicaCpus;
        double replicaGpus;
    }

    private final Map<Job, Int2ObjectMap<Attempt>> byJob = new LinkedHashMap<>();
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
    private int size;

    /** Adds an attempt that may be alive; throws where another one of the same task is recorded. */
    public void add(Attempt attempt) {
        Attempt old =
                byJob.computeIfAbsent(attempt.job, j -> new Int2ObjectOpenHashMap<>())
                        .put(attempt.task, attempt);
        if (old != null) {
            // One task alive twice is what must never be; the books are not to be trusted any
            // further.
            throw new IllegalStateException(attempt.taskRef + " is already in the books");
        }
        size++;
        adjustUsage(attempt, 1);
    }

    /** Proven gone or completed; an attempt that is not in the books changes nothing. */
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
        adjustUsage(attempt, -1);
    }

    private void adjustUsage(Attempt attempt, int sign) {
        TeamUsage use = usageByTeam.computeIfAbsent(attempt.job.spec.team(), t -> new TeamUsage());
        use.attempts += sign;
        // An empty team starts again from nought, so that rounding never adds up.
        use.cpus = use.attempts == 0 ? 0 : use.cpus + sign * attempt.job.spec.cpus();
        use.gpus = use.attempts == 0 ? 0 : use.gpus + sign * attempt.job.spec.gpus();
        if (attempt.job.spec.isService()) {
            use.replicas += sign;
            use.replicaCpus =
                    use.replicas == 0 ? 0 : use.replicaCpus + sign * attempt.job.spec.cpus();
            use.replicaGpus =
                    use.replicas == 0 ? 0 : use.replicaGpus + sign * attempt.job.spec.gpus();
        }
    }

    /** The number of attempts that may be alive. */
    public int size() {
        return size;
    }

    /** The live attempt of a task, or null. */
    public Attempt get(Job job, int task) {
        return byJob.getOrDefault(job, Int2ObjectMaps.emptyMap()).get(task);
    }

    /** The job's attempts, as a copy: ending one changes the books. */
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
        TeamUsage use = usageByTeam.get(team);
        return use == null ? 0 : use.cpus;
    }

    /** Accelerators that a team's live attempts take. */
    public double usedGpus(String team) {
        TeamUsage use = usageByTeam.get(team);
        return use == null ? 0 : use.gpus;
    }

    /** What the team's replicas take: they end only when their users say so. */
    public double replicaCpus(String team) {
        TeamUsage use = usageByTeam.get(team);
        return use == null ? 0 : use.replicaCpus;
    }

    /** Accelerators that a team's replicas take, which do not end by themselves. */
    public double replicaGpus(String team) {
        TeamUsage use = usageByTeam.get(team);
        return use == null ? 0 : use.replicaGpus;
    }
}
