package io.pepperfield.dispatch;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.MachineFit;
import io.pepperfield.placement.PlacementRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Builds the placement requests of one pass: one for each job with startable tasks, oldest job
 * first. A new instance is created for each pass. Confined to the event loop.
 */
final class PendingRequests {

    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingDouble((Job job) -> job.readyAt())
                    .thenComparing(job -> job.spec.id());

    /**
     * Seconds after which a job that has not started counts as overdue and takes precedence: a
     * quarter of the four minutes within which users expect even the largest jobs to start.
     */
    private static final double OVERDUE_AFTER_S = 240.0 / 4;

    private final ClusterState cluster;
    private final CapacityReservations reservations;
    private final double now;
    private final double slowestFetchGbPerS;

    /** Total CPUs requested by the jobs processed so far, by team. */
    private final Map<String, Double> requestedCpusByTeam = new HashMap<>();

    /** Combinations of team and workload with an overdue job among those processed so far. */
    private final Set<String> overdueTeamWorkloads = new HashSet<>();

    /** Computed lazily, as are {@link #schedulableMachines}: both scan the whole fleet. */
    private Map<Job, Set<String>> machinesHoldingEndedAttempts;

    private List<FreeCapacity> schedulableMachines;

    PendingRequests(ClusterState cluster, CapacityReservations reservations, double now) {
        this.cluster = cluster;
        this.reservations = reservations;
        this.now = now;
        this.slowestFetchGbPerS =
                cluster.machineTypes().all().stream()
                        .mapToDouble(MachineType::fetchGbPerS)
                        .filter(rate -> rate > 0)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns the requests, oldest job first. */
    List<PlacementRequest> build() {
        List<Job> jobs = openJobsOldestFirst();
        jobs.forEach(this::endCrashLoopIfStable);
        List<PlacementRequest> requests = new ArrayList<>();
        for (Job job : jobs) {
            double requestedCpus = addRequestedCpus(job);
            Settings.Team team = cluster.settings().deployment().teams().get(job.spec.team());
            int startableTasks = job.startableTaskCount(cluster.liveAttempts().hasAny(job));
            if (startableTasks > 0 && team != null && job.startNotBefore() <= now) {
                boolean withinGuarantee =
                        requestedCpus <= team.guaranteedCpus() && !job.isCrashLooping();
                requests.add(request(job, startableTasks, withinGuarantee));
            }
        }
        return requests;
    }

    private List<Job> openJobsOldestFirst() {
        List<Job> jobs = new ArrayList<>();
        for (Job job : cluster.jobs().values()) {
            if (job.finalStatus() == null && !job.isAwaitingDependencies()) {
                jobs.add(job);
            }
        }
        jobs.sort(OLDEST_FIRST);
        return jobs;
    }

    /**
     * Ends the crash-loop state of a job with a stable attempt. Otherwise replicas that were lost
     * to faulty machines would wait for the job's other replicas to end, which they never do.
     */
    private void endCrashLoopIfStable(Job job) {
        if (job.isCrashLooping() && hasStableAttempt(job)) {
            job.recordSuccess();
        }
    }

    /**
     * Returns whether a task of the job has run for at least one billing unit. An error in the job
     * shows earlier than that. Completion cannot be the criterion, as replicas never complete.
     */
    private boolean hasStableAttempt(Job job) {
        double stableAfterS = cluster.settings().operators().billingUnitS();
        return cluster.liveAttempts().attemptsOf(job).stream()
                .anyMatch(
                        attempt ->
                                attempt.running() && now - attempt.runningSince() >= stableAfterS);
    }

    /**
     * Adds the job's CPUs to those requested by older jobs of its team and returns the sum. Crash
     * looping jobs count as 0, so that they do not use up the guarantee for later jobs.
     */
    private double addRequestedCpus(Job job) {
        double cpus = job.isCrashLooping() ? 0 : job.spec.tasks() * job.spec.cpus();
        return requestedCpusByTeam.merge(job.spec.team(), cpus, Double::sum);
    }

    private PlacementRequest request(Job job, int startableTasks, boolean withinGuarantee) {
        Set<String> excludedMachines = excludedMachines(job);
        double waitedS = now - job.readyAt();
        boolean reserved = reservations.hasReservation(job);
        PlacementRequest.Builder builder =
                PlacementRequest.builder(job.effectiveSpec(), startableTasks)
                        .withinGuarantee(withinGuarantee)
                        .readyAt(job.readyAt())
                        .tasksPerZone(cluster.liveAttempts().countByZone(job))
                        .excludedMachines(excludedMachines)
                        .failedMachines(job.failedMachines())
                        .crashLooping(job.isCrashLooping())
                        .hasReservation(reserved)
                        .imageLocalityRequired(
                                !job.isCrashLooping() && requiresImageLocality(job, waitedS))
                        .waitedS(waitedS);
        builder.overdue(claimOverduePrecedence(job, builder));
        if (job.effectiveSpec().priority() == JobSpec.Priority.BEST_EFFORT
                && !reserved
                && !withinGuarantee) {
            excludedMachines.addAll(reservations.reservedMachines());
        }
        return builder.build();
    }

    /**
     * Returns the machines on which the job failed recently, and those that still hold an ended
     * attempt of a task that is not done: a worker refuses a task that it still holds.
     */
    private Set<String> excludedMachines(Job job) {
        if (machinesHoldingEndedAttempts == null) {
            machinesHoldingEndedAttempts = findMachinesHoldingEndedAttempts();
        }
        Set<String> excluded = job.recentlyFailedMachines(now);
        excluded.addAll(machinesHoldingEndedAttempts.getOrDefault(job, Set.of()));
        return excluded;
    }

    private Map<Job, Set<String>> findMachinesHoldingEndedAttempts() {
        Map<Job, Set<String>> machinesByJob = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.liveAttemptCount() == machine.attempts().size()) {
                continue;
            }
            for (Attempt attempt : machine.attempts()) {
                if (!attempt.live() && !attempt.job.isDone(attempt.task)) {
                    machinesByJob
                            .computeIfAbsent(attempt.job, job -> new HashSet<>())
                            .add(machine.name);
                }
            }
        }
        return machinesByJob;
    }

    /**
     * Returns whether the wait objective of the job's workload can only be met on a machine that
     * has the image: fetching it may take more than half the objective. Once the objective is
     * missed, any machine is eligible.
     */
    private boolean requiresImageLocality(Job job, double waitedS) {
        double maxWaitS = cluster.objectives().maxWaitS(job.spec.workload());
        return job.spec.imageGb() / slowestFetchGbPerS > maxWaitS / 2 && waitedS < maxWaitS;
    }

    /**
     * Returns whether the job is the oldest overdue job of its team and workload that can ever
     * start, and records it as such. Only one job of each combination takes precedence, so that
     * many overdue jobs of the same kind do not occupy the whole fleet.
     */
    private boolean claimOverduePrecedence(Job job, PlacementRequest.Builder builder) {
        if (job.isCrashLooping()
                || job.doneTaskCount() > 0
                || cluster.liveAttempts().hasAny(job)
                || now - job.readyAt() <= OVERDUE_AFTER_S) {
            return false;
        }
        String teamWorkload = job.spec.team() + "/" + job.spec.workload();
        return !overdueTeamWorkloads.contains(teamWorkload)
                && canEverStart(builder.build())
                && overdueTeamWorkloads.add(teamWorkload);
    }

    /**
     * Returns whether any machine can eventually have capacity for the request. An overdue job
     * blocks the rest of its team; one that no machine can ever run would block it indefinitely.
     */
    private boolean canEverStart(PlacementRequest request) {
        if (schedulableMachines == null) {
            schedulableMachines = cluster.schedulableMachines(now);
        }
        return schedulableMachines.stream()
                .anyMatch(capacity -> MachineFit.canEverFit(request, capacity));
    }
}
