package io.pepperfield.dispatch;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.BinPacker;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.PreemptionPlanner;
import io.pepperfield.placement.QuotaUsage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which waiting task starts where, and what is stopped for it. */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);
    private static final Comparator<Job> BY_AGE =
            Comparator.comparingDouble((Job j) -> j.readyAt()).thenComparing(j -> j.spec.id());

    /**
     * The users' term: the largest jobs, too, begin within four minutes. From a quarter of it on a
     * job comes first.
     */
    private static final double OVERDUE_AFTER_S = 240.0 / 4;

    /**
     * Part of this process's time that placing may take; what comes meanwhile waits for the next
     * pass.
     */
    private static final double MAX_BUSY_FRACTION = 0.2;

    /** What the leader does about the choices. */
    public interface AttemptControl {
        /** Writes the intent of an attempt and starts it once the intent is durable. */
        void start(Job job, int task, Machine machine);

        /** Stops an attempt; it may take that many seconds to save a checkpoint. */
        void stop(Attempt attempt, double drainS);
    }

    private final ClusterState cluster;
    private final AttemptControl attemptControl;

    /**
     * Jobs for which others are being stopped, and until when the room that this frees is kept for
     * them.
     */
    private final Map<Job, Double> reservedUntil = new HashMap<>();

    private final PreemptedCapacity preemptedCapacity = new PreemptedCapacity();

    private boolean passRequested = true;
    private double lastPassAt = Double.NEGATIVE_INFINITY;
    private double nextPassAt = Double.NEGATIVE_INFINITY;

    /** Creates the dispatcher of one term. */
    public Dispatcher(ClusterState cluster, AttemptControl starter) {
        this.cluster = cluster;
        this.attemptControl = starter;
    }

    /** Something has changed that may let a task start. */
    public void requestPass() {
        passRequested = true;
    }

    /** To be called several times in a heartbeat interval. */
    public void tick(double now) {
        passRequested |= now - lastPassAt >= cluster.heartbeatIntervalS();
    }

    /** At the end of each batch of commands. */
    public void runPassIfDue() {
        double now = cluster.loop().now();
        if (!passRequested || now < nextPassAt || !cluster.machineTypes().known()) {
            return;
        }
        passRequested = false;
        lastPassAt = now;
        runPass(now);
        // A pass over a large fleet must leave room for reports and answers, whatever there is to
        // place.
        double took = cluster.loop().now() - now;
        cluster.passDurations().record("placing", took);
        nextPassAt = now + Math.max(cluster.heartbeatIntervalS() / 50, took / MAX_BUSY_FRACTION);
    }

    private void runPass(double now) {
        List<PlacementRequest> requests = pendingRequests(now);
        if (requests.isEmpty()) {
            return;
        }
        Map<String, QuotaUsage> shares = cluster.quotaUsages();
        List<FreeCapacity> rooms = cluster.freeCapacities(now, false);
        start(BinPacker.place(requests, rooms, shares));
        JobSpec.Priority lowest = lowestLivePriority();
        boolean borrowed = shares.values().stream().anyMatch(QuotaUsage::exceedsGuarantee);
        if (requests.stream()
                .noneMatch(
                        request ->
                                request.unschedulable() && request.imageLocalityRequired()
                                        || mayPreempt(request, lowest, borrowed))) {
            // When only the lowest wait, as in a long overload, a look at every task of the fleet
            // would find nothing to stop.
            return;
        }
        // To stop lower work on a machine that has the image beats a start on one that must fetch
        // it first.
        Map<String, Attempt> victims = new HashMap<>();
        Map<String, QuotaUsage> later = new HashMap<>();
        shares.forEach((team, share) -> later.put(team, share.copy()));
        List<PreemptionPlanner.PreemptibleMachine> places =
                preemptibleMachines(cluster.freeCapacities(now, true), later, victims, now);
        stop(
                PreemptionPlanner.selectVictims(
                        requests.stream().filter(PlacementRequest::imageLocalityRequired).toList(),
                        places,
                        later),
                victims);
        requests.forEach(request -> request.imageLocalityRequired(false));
        Map<String, PlacementRequest> byJob = new HashMap<>();
        requests.forEach(request -> byJob.put(request.job().id(), request));
        Map<String, PreemptionPlanner.PreemptibleMachine> byMachine = new HashMap<>();
        places.forEach(place -> byMachine.put(place.machineName(), place));
        // Starts go by what the teams use as long as the stopped is not gone, or their limits would
        // be passed meanwhile.
        List<BinPacker.Placement> colder = BinPacker.place(requests, rooms, shares);
        for (BinPacker.Placement choice : colder) {
            JobSpec job = byJob.get(choice.jobId()).job();
            byMachine.get(choice.machineName()).allocate(byJob.get(choice.jobId()));
            later.get(job.team()).release(job, -1);
        }
        start(colder);
        stop(PreemptionPlanner.selectVictims(requests, places, later), victims);
        for (PlacementRequest request : requests) {
            if (request.causedPreemption()) {
                // As long as a stop takes to show; else what was stopped would only have made way
                // for those in front.
                reservedUntil.merge(
                        cluster.jobs().get(request.job().id()),
                        now + cluster.heartbeatIntervalS(),
                        Math::max);
            }
        }
    }

    private JobSpec.Priority lowestLivePriority() {
        return cluster.liveAttempts().jobs().stream()
                .map(job -> job.effectiveSpec().priority())
                .max(Comparator.naturalOrder())
                .orElse(JobSpec.Priority.PRODUCTION);
    }

    /**
     * Waits for room, and either ranks above something that may be alive or has a guarantee to
     * claim from what is borrowed.
     */
    private static boolean mayPreempt(
            PlacementRequest request, JobSpec.Priority lowest, boolean borrowed) {
        return !request.probe()
                && (request.unschedulable() || blockedByQuota(request))
                && (request.withinGuarantee() && borrowed
                        || request.job().priority().compareTo(lowest) < 0);
    }

    /**
     * Waits although machines may have room, and ranks above something: its team's limit may be
     * taken up by lower work.
     */
    private static boolean blockedByQuota(PlacementRequest request) {
        return request.waitingTasks() > 0
                && !request.job().isGang()
                && request.job().priority().compareTo(JobSpec.Priority.STANDARD) < 0;
    }

    private void start(List<BinPacker.Placement> choices) {
        for (BinPacker.Placement choice : choices) {
            Job job = cluster.jobs().get(choice.jobId());
            attemptControl.start(
                    job, job.nextPendingTask(), cluster.fleet().get(choice.machineName()));
        }
    }

    private void stop(List<String> chosen, Map<String, Attempt> victims) {
        for (String id : chosen) {
            LOG.debug("stopping {} to free room", id);
            Attempt victim = victims.get(id);
            preemptedCapacity.reserve(
                    victim.machine.name, cluster.loop().now() + cluster.heartbeatIntervalS());
            // At once: to save first would hold up what it is stopped for.
            attemptControl.stop(victim, 0);
        }
    }

    /**
     * The machines and shares as they will be once all that is being stopped is gone, with what
     * else could be stopped.
     */
    private List<PreemptionPlanner.PreemptibleMachine> preemptibleMachines(
            List<FreeCapacity> rooms,
            Map<String, QuotaUsage> later,
            Map<String, Attempt> byId,
            double now) {
        List<PreemptionPlanner.PreemptibleMachine> places = new ArrayList<>();
        for (FreeCapacity room : rooms) {
            List<PreemptionPlanner.Victim> victims = new ArrayList<>();
            for (Attempt attempt : cluster.fleet().get(room.machineName()).attempts()) {
                JobSpec spec = attempt.job.spec;
                if (!later.containsKey(spec.team())) {
                    // Of a team that the settings name no longer: left to end, as there is no share
                    // to count it by.
                    continue;
                }
                if (attempt.stopRequested() && attempt.live()) {
                    room.release(spec, 1);
                    later.get(spec.team()).release(spec, 1);
                } else if (attempt.live()
                        && attempt.phase() != Attempt.Phase.INTENDED
                        && attempt.phase() != Attempt.Phase.ORDERED) {
                    String id = attempt.taskRef.toString();
                    byId.put(id, attempt);
                    victims.add(
                            new PreemptionPlanner.Victim(
                                    id,
                                    attempt.job.effectiveSpec(),
                                    ClusterState.lostWorkS(attempt, now)));
                }
            }
            places.add(new PreemptionPlanner.PreemptibleMachine(room, victims));
        }
        return places;
    }

    /**
     * Whether some machine could have it running within the class's aim, but only without fetching
     * the image.
     */
    private boolean requiresImageLocality(JobSpec job) {
        double slowest =
                cluster.machineTypes().all().stream()
                        .mapToDouble(MachineType::fetchGbPerS)
                        .filter(rate -> rate > 0)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
        return job.imageGb() / slowest > cluster.objectives().maxWait(job.workload()) / 2;
    }

    /**
     * Machines that still keep an ended attempt of a task which waits again: a worker refuses a
     * task that it holds.
     */
    private Map<Job, Set<String>> machinesHoldingEndedAttempts() {
        Map<Job, Set<String>> kept = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.liveAttemptCount() < machine.attempts().size()) {
                for (Attempt attempt : machine.attempts()) {
                    if (!attempt.live() && !attempt.job.isDone(attempt.task)) {
                        kept.computeIfAbsent(attempt.job, j -> new HashSet<>()).add(machine.name);
                    }
                }
            }
        }
        return kept;
    }

    private static Set<String> excludedMachines(Job job, Map<Job, Set<String>> kept, double now) {
        Set<String> avoided = job.recentlyFailedMachines(now);
        avoided.addAll(kept.getOrDefault(job, Set.of()));
        return avoided;
    }

    /**
     * One of its tasks has run for a charging unit: no mistake shows so late, and a replica is
     * never completed.
     */
    private boolean hasStableAttempt(Job job, double now) {
        return cluster.liveAttempts().attemptsOf(job).stream()
                .anyMatch(
                        attempt ->
                                attempt.running()
                                        && now - attempt.runningSince()
                                                >= cluster.settings().operators().billingUnitS());
    }

    /** What waits to be placed now, oldest job first. */
    public List<PlacementRequest> pendingRequests(double now) {
        List<PlacementRequest> requests = new ArrayList<>();
        Map<String, Double> before = new HashMap<>();
        reservedUntil.values().removeIf(until -> until < now);
        preemptedCapacity.expire(now);
        List<Job> order = new ArrayList<>(cluster.jobs().values());
        order.sort(BY_AGE);
        Map<Job, Set<String>> kept = null;
        Set<String> overdue = new HashSet<>();
        List<FreeCapacity> standing = null;
        for (Job job : order) {
            if (job.finalStatus() != null || job.isAwaitingDependencies()) {
                continue;
            }
            if (job.isCrashLooping() && hasStableAttempt(job, now)) {
                // Or its replicas that were lost to bad machines would wait for the others to end,
                // which never do.
                job.recordSuccess();
            }
            Settings.Team team = cluster.settings().deployment().teams().get(job.spec.team());
            // What fails everywhere must not use up its team's guarantee for the jobs behind it.
            double cpus =
                    before.merge(
                            job.spec.team(),
                            job.isCrashLooping() ? 0 : job.spec.tasks() * job.spec.cpus(),
                            Double::sum);
            int waiting = job.startableTaskCount(cluster.liveAttempts().hasAny(job));
            if (waiting == 0 || team == null || job.startNotBefore() > now) {
                continue;
            }
            kept = kept == null ? machinesHoldingEndedAttempts() : kept;
            PlacementRequest request =
                    new PlacementRequest(
                            job.effectiveSpec(),
                            waiting,
                            cpus <= team.guaranteedCpus() && !job.isCrashLooping(),
                            job.readyAt(),
                            cluster.liveAttempts().countByZone(job),
                            excludedMachines(job, kept, now));
            request.probe(job.isCrashLooping());
            request.imageLocalityRequired(
                    !job.isCrashLooping()
                            && requiresImageLocality(job.spec)
                            && now - job.readyAt()
                                    < cluster.objectives().maxWait(job.spec.workload()));
            // The oldest of each class: if a swarm came first as a whole, it would have the fleet
            // to itself.
            request.overdue(
                    !job.isCrashLooping()
                            && job.doneTaskCount() == 0
                            && !cluster.liveAttempts().hasAny(job)
                            && now - job.readyAt() > OVERDUE_AFTER_S
                            && !overdue.contains(job.spec.team() + "/" + job.spec.workload())
                            && canEverStart(
                                    request,
                                    standing =
                                            standing == null
                                                    ? cluster.freeCapacities(now, true)
                                                    : standing)
                            && overdue.add(job.spec.team() + "/" + job.spec.workload()));
            boolean roomPromised = reservedUntil.containsKey(job);
            request.reserved(roomPromised);
            if (job.effectiveSpec().priority() == JobSpec.Priority.BEST_EFFORT
                    && !roomPromised
                    && !request.withinGuarantee()) {
                request.excludedMachines(preemptedCapacity.machineNames());
            }
            request.waitingTime(now - job.readyAt());
            requests.add(request);
        }
        return requests;
    }

    /**
     * Whether some machine may come to have room for it: for what can begin nowhere its team would
     * stand back for ever.
     */
    private static boolean canEverStart(PlacementRequest request, List<FreeCapacity> standing) {
        return standing.stream().anyMatch(room -> BinPacker.canEverFit(request, room));
    }

    /**
     * Whether all replicas of a machine would find places elsewhere now, with what may be stopped
     * for them.
     */
    public boolean canRelocateReplicas(Machine lost, double now) {
        Map<String, QuotaUsage> shares = cluster.quotaUsages();
        Map<Job, Integer> replicas = new LinkedHashMap<>();
        for (Attempt attempt : lost.attempts()) {
            if (attempt.live()
                    && attempt.job.spec.isService()
                    && attempt.job.finalStatus() == null) {
                replicas.merge(attempt.job, 1, Integer::sum);
                shares.get(attempt.job.spec.team()).release(attempt.job.spec, 1);
            }
        }
        List<PlacementRequest> requests = new ArrayList<>();
        Map<String, PlacementRequest> byJob = new HashMap<>();
        replicas.forEach(
                (job, count) -> {
                    Map<String, Integer> zones = cluster.liveAttempts().countByZone(job);
                    zones.merge(lost.zone(), -count, Integer::sum);
                    PlacementRequest request =
                            new PlacementRequest(
                                    job.spec, count, true, job.readyAt(), zones, Set.of());
                    requests.add(request);
                    byJob.put(job.spec.id(), request);
                });
        List<FreeCapacity> rooms = cluster.freeCapacities(now, false);
        List<BinPacker.Placement> choices = BinPacker.place(requests, rooms, shares);
        if (requests.stream().allMatch(request -> request.waitingTasks() == 0)) {
            return true;
        }
        List<PreemptionPlanner.PreemptibleMachine> places =
                preemptibleMachines(
                        cluster.freeCapacities(now, true), shares, new HashMap<>(), now);
        Map<String, PreemptionPlanner.PreemptibleMachine> byMachine = new HashMap<>();
        places.forEach(place -> byMachine.put(place.machineName(), place));
        choices.forEach(
                choice -> byMachine.get(choice.machineName()).allocate(byJob.get(choice.jobId())));
        PreemptionPlanner.selectVictims(requests, places, shares);
        return requests.stream().allMatch(request -> request.waitingTasks() == 0);
    }
}
