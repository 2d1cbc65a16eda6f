package io.pepperfield.dispatch;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which waiting task starts where, and what is stopped for it. */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

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

    private final CapacityReservations reservations = new CapacityReservations();

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
        requests.forEach(PlacementRequest::relaxImageLocality);
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
                reservations.reserveForJob(
                        cluster.jobs().get(request.job().id()), now + cluster.heartbeatIntervalS());
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
            reservations.reserveMachine(
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

    /** What waits to be placed now, oldest job first. */
    public List<PlacementRequest> pendingRequests(double now) {
        reservations.expire(now);
        return new PendingRequests(cluster, reservations, now).build();
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
                            PlacementRequest.builder(job.spec, count)
                                    .withinGuarantee(true)
                                    .readyAt(job.readyAt())
                                    .tasksPerZone(zones)
                                    .build();
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
