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
 * Builds the placement requests of one pass: one for each job that has tasks to start now, oldest
 * job first. Made anew for each pass and confined to the event loop.
 */
final class PendingRequests {

    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingDouble((Job job) -> job.readyAt())
                    .thenComparing(job -> job.spec.id());

    /**
     * Users expect that the largest jobs, too, begin within four minutes. From a quarter of that on
     * a job goes first.
     */
    private static final double OVERDUE_AFTER_S = 240.0 / 4;

    private final ClusterState cluster;
    private final CapacityReservations reservations;
    private final double now;
    private final double slowestFetchGbPerS;

    /** CPUs that the jobs looked at so far want in all, by team. */
    private final Map<String, Double> claimedCpus = new HashMap<>();

    /** Teams and workloads of which an overdue job has been found. */
    private final Set<String> overdueClasses = new HashSet<>();

    /** Computed when first needed, since both cost a look at the whole fleet. */
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

    /** The requests, oldest job first. */
    List<PlacementRequest> build() {
        List<Job> jobs = openJobsOldestFirst();
        jobs.forEach(this::endCrashLoopIfStable);
        List<PlacementRequest> requests = new ArrayList<>();
        for (Job job : jobs) {
            double claimed = claimGuarantee(job);
            Settings.Team team = cluster.settings().deployment().teams().get(job.spec.team());
            int waitingTasks = job.startableTaskCount(cluster.liveAttempts().hasAny(job));
            if (waitingTasks > 0 && team != null && job.startNotBefore() <= now) {
                boolean withinGuarantee = claimed <= team.guaranteedCpus() && !job.isCrashLooping();
                requests.add(request(job, waitingTasks, withinGuarantee));
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
     * A job of which a task runs for long is sound after all. Else its replicas that were lost to
     * bad machines would wait for the others to end, which never do.
     */
    private void endCrashLoopIfStable(Job job) {
        if (job.isCrashLooping() && hasStableAttempt(job)) {
            job.recordSuccess();
        }
    }

    /**
     * Whether one of its tasks has run for a billing unit: no mistake shows so late, and a replica
     * is never completed.
     */
    private boolean hasStableAttempt(Job job) {
        double stableAfterS = cluster.settings().operators().billingUnitS();
        return cluster.liveAttempts().attemptsOf(job).stream()
                .anyMatch(
                        attempt ->
                                attempt.running() && now - attempt.runningSince() >= stableAfterS);
    }

    /**
     * CPUs that the job and the older ones of its team want. A job that fails everywhere must not
     * use up the guarantee for those behind it.
     */
    private double claimGuarantee(Job job) {
        double cpus = job.isCrashLooping() ? 0 : job.spec.tasks() * job.spec.cpus();
        return claimedCpus.merge(job.spec.team(), cpus, Double::sum);
    }

    private PlacementRequest request(Job job, int waitingTasks, boolean withinGuarantee) {
        Set<String> excludedMachines = excludedMachines(job);
        double waitedS = now - job.readyAt();
        boolean reserved = reservations.hasReservation(job);
        PlacementRequest.Builder builder =
                PlacementRequest.builder(job.effectiveSpec(), waitingTasks)
                        .withinGuarantee(withinGuarantee)
                        .readyAt(job.readyAt())
                        .tasksPerZone(cluster.liveAttempts().countByZone(job))
                        .excludedMachines(excludedMachines)
                        .crashLooping(job.isCrashLooping())
                        .hasReservation(reserved)
                        .imageLocalityRequired(
                                !job.isCrashLooping() && requiresImageLocality(job, waitedS))
                        .waitedS(waitedS);
        builder.overdue(claimOverdueTurn(job, builder));
        if (job.effectiveSpec().priority() == JobSpec.Priority.BEST_EFFORT
                && !reserved
                && !withinGuarantee) {
            excludedMachines.addAll(reservations.reservedMachines());
        }
        return builder.build();
    }

    /**
     * Machines on which the job failed of late, and those that still keep an ended attempt of a
     * task which waits again: a worker refuses a task that it holds.
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
     * Whether some machine could have the job running within its class's objective, but only
     * without fetching the image. Once the objective is missed any machine will do.
     */
    private boolean requiresImageLocality(Job job, double waitedS) {
        double maxWaitS = cluster.objectives().maxWait(job.spec.workload());
        return job.spec.imageGb() / slowestFetchGbPerS > maxWaitS / 2 && waitedS < maxWaitS;
    }

    /**
     * Whether the job is the oldest overdue one of its class. Only one of each class goes first: a
     * whole swarm would have the fleet to itself.
     */
    private boolean claimOverdueTurn(Job job, PlacementRequest.Builder builder) {
        if (job.isCrashLooping()
                || job.doneTaskCount() > 0
                || cluster.liveAttempts().hasAny(job)
                || now - job.readyAt() <= OVERDUE_AFTER_S) {
            return false;
        }
        String overdueClass = job.spec.team() + "/" + job.spec.workload();
        return !overdueClasses.contains(overdueClass)
                && canEverStart(builder.build())
                && overdueClasses.add(overdueClass);
    }

    /**
     * Whether some machine may come to have capacity for the request: for a job that can begin
     * nowhere its team would stand back for ever.
     */
    private boolean canEverStart(PlacementRequest request) {
        if (schedulableMachines == null) {
            schedulableMachines = cluster.schedulableMachines(now);
        }
        return schedulableMachines.stream()
                .anyMatch(capacity -> MachineFit.canEverFit(request, capacity));
    }
}
