package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.PlacementShortage;
import io.pepperfield.capacity.RestrictedWork;
import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.RunTimePredictor;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Provides the capacity planner's view of ready, booting and rentable machines. */
final class CapacitySupply {

    /** On-demand and spot, in the order in which pools are offered. */
    private static final boolean[] SPOT_OPTIONS = {false, true};

    private final ClusterState cluster;

    CapacitySupply(ClusterState cluster) {
        this.cluster = cluster;
    }

    /**
     * Returns an offer for each pool, with the number of its ready, booting and requested machines.
     */
    List<CapacityPlanner.PoolOffer> offers(double now) {
        Map<InstancePool, Integer> machineCounts = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (isReadyOrBooting(machine, now)) {
                machineCounts.merge(machine.pool(), 1, Integer::sum);
            }
        }
        List<CapacityPlanner.PoolOffer> offers = new ArrayList<>();
        for (MachineType type : cluster.machineTypes().all()) {
            for (boolean spot : SPOT_OPTIONS) {
                InstancePool pool = new InstancePool(type.name(), spot);
                offers.add(offer(type, pool, machineCounts.getOrDefault(pool, 0)));
            }
        }
        return offers;
    }

    private CapacityPlanner.PoolOffer offer(MachineType type, InstancePool pool, int machineCount) {
        InstanceLifecycle instances = cluster.instanceLifecycle();
        double bootS =
                type.zones().stream()
                        .mapToDouble(zone -> cluster.bootTracker().expectedBootTime(type, zone))
                        .min()
                        .orElse(type.bootS());
        return new CapacityPlanner.PoolOffer(
                pool,
                type.cpus(),
                type.gpus(),
                type.memGb(),
                type.price(pool.spot()),
                bootS,
                machineCount + instances.requestedCount(pool),
                type.zones().stream().anyMatch(zone -> instances.mayHaveCapacity(pool, zone)));
    }

    /**
     * Returns the part of a job's waiting tasks that may run in one zone only, or all of them if
     * the job failed on machines that are to be replaced.
     */
    Optional<RestrictedWork> restrictedWork(Job job, double runTime, int waiting, double now) {
        JobSpec spec = job.spec;
        Set<String> failedMachines = job.machinesToReplace(now);
        if (spec.zone() == null
                && !spec.sameZone()
                && !spec.spreadOverZones()
                && failedMachines.isEmpty()) {
            return Optional.empty();
        }
        Set<String> zones =
                cluster.machineTypes().all().stream()
                        .filter(
                                type ->
                                        spec.machineTypes() == null
                                                || spec.machineTypes().contains(type.name()))
                        .flatMap(type -> type.zones().stream())
                        .collect(Collectors.toSet());
        return RestrictedWork.of(
                spec,
                runTime,
                waiting,
                cluster.liveAttempts().countByZone(job),
                zones,
                failedMachines);
    }

    /**
     * Returns the ready, booting and requested machines, with the capacity that is expected to be
     * free on them. A live attempt occupies its capacity unless it is being stopped or is predicted
     * to end within the interval.
     */
    List<PlacementShortage.AvailableMachine> availableMachines(
            Map<Job, Double> runTimes, double intervalS, double now) {
        List<PlacementShortage.AvailableMachine> available = new ArrayList<>();
        for (Machine machine : cluster.fleet().machines()) {
            MachineType type = cluster.machineTypes().get(machine.type());
            if (type != null && isReadyOrBooting(machine, now)) {
                available.add(availableMachine(machine, type, runTimes, intervalS, now));
            }
        }
        addRequestedMachines(available);
        return available;
    }

    private static PlacementShortage.AvailableMachine availableMachine(
            Machine machine,
            MachineType type,
            Map<Job, Double> runTimes,
            double intervalS,
            double now) {
        double cpus = machine.freeCpus(type);
        double gpus = machine.freeGpus(type);
        double memGb = machine.freeMemGb(type);
        for (Attempt attempt : machine.attempts()) {
            double runTime = runTimes.getOrDefault(attempt.job, 0.0);
            if (attempt.live()
                    && (attempt.stopRequested() || endsSoon(attempt, runTime, intervalS, now))) {
                JobSpec spec = attempt.job.spec;
                cpus += spec.cpus();
                gpus += spec.gpus();
                memGb += spec.memGb();
            }
        }
        return new PlacementShortage.AvailableMachine(
                machine.name, machine.pool(), machine.zone(), cpus, gpus, memGb);
    }

    private void addRequestedMachines(List<PlacementShortage.AvailableMachine> available) {
        for (MachineType type : cluster.machineTypes().all()) {
            for (boolean spot : SPOT_OPTIONS) {
                InstancePool pool = new InstancePool(type.name(), spot);
                for (String zone : type.zones()) {
                    int requested = cluster.instanceLifecycle().requestedCount(pool, zone);
                    available.addAll(
                            Collections.nCopies(
                                    requested,
                                    PlacementShortage.AvailableMachine.requested(
                                            pool, zone, type.cpus(), type.gpus(), type.memGb())));
                }
            }
        }
    }

    /**
     * Whether the attempt is predicted to end within the interval. An attempt that has exceeded its
     * predicted run time may run indefinitely, so it keeps its capacity.
     */
    private static boolean endsSoon(Attempt attempt, double runTime, double intervalS, double now) {
        double remaining = RunTimePredictor.remainingTime(runTime, attempt.runTimeS(now));
        return remaining > 0 && remaining <= intervalS;
    }

    /** Returns the offers in each zone that may have capacity. */
    List<PlacementShortage.ZoneOffer> zoneOffers(List<CapacityPlanner.PoolOffer> offers) {
        List<PlacementShortage.ZoneOffer> zoneOffers = new ArrayList<>();
        for (CapacityPlanner.PoolOffer offer : offers) {
            for (String zone : cluster.machineTypes().get(offer.pool().type()).zones()) {
                if (cluster.instanceLifecycle().mayHaveCapacity(offer.pool(), zone)) {
                    zoneOffers.add(new PlacementShortage.ZoneOffer(offer, zone));
                }
            }
        }
        return zoneOffers;
    }

    /**
     * Whether the machine is reachable or still expected to boot in time. An unreachable machine is
     * excluded, so that its replacement boots in the meantime.
     */
    private boolean isReadyOrBooting(Machine machine, double now) {
        boolean present =
                machine.ready()
                        ? machine.unreachableFor(now) <= cluster.heartbeatTimeoutS()
                        : cluster.bootTracker().isStillExpected(machine, now);
        return !machine.releasing() && !machine.draining() && present;
    }
}
