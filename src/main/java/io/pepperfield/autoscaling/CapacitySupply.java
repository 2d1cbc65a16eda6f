package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.ZoneShortage;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.RunTimePredictor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What machines stand, are coming or can be rented, as steering counts them. */
final class CapacitySupply {

    private final ClusterState cluster;

    CapacitySupply(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** What can be rented of each pool, and what stands or is coming of it. */
    List<CapacityPlanner.PoolOffer> offers(double now) {
        Map<InstancePool, Integer> present = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (isCountedOn(machine, now)) {
                present.merge(machine.pool(), 1, Integer::sum);
            }
        }
        List<CapacityPlanner.PoolOffer> offers = new ArrayList<>();
        for (MachineType type : cluster.machineTypes().all()) {
            for (boolean spot : new boolean[] {false, true}) {
                InstancePool pool = new InstancePool(type.name(), spot);
                boolean open =
                        type.zones().stream()
                                .anyMatch(
                                        zone ->
                                                cluster.instanceLifecycle()
                                                        .mayHaveCapacity(pool, zone));
                offers.add(
                        new CapacityPlanner.PoolOffer(
                                pool,
                                type.cpus(),
                                type.gpus(),
                                type.memGb(),
                                type.price(spot),
                                type.zones().stream()
                                        .mapToDouble(
                                                zone ->
                                                        cluster.bootTracker()
                                                                .expectedBootTime(type, zone))
                                        .min()
                                        .orElse(type.bootS()),
                                present.getOrDefault(pool, 0)
                                        + cluster.instanceLifecycle().requestedCount(pool),
                                open));
            }
        }
        return offers;
    }

    /** What of a job's waiting tasks only one zone will do for, or null. */
    ZoneShortage.ZoneBoundWork zoneBoundWork(Job job, double runTime, int waiting) {
        JobSpec spec = job.spec;
        if (spec.zone() == null && !spec.sameZone() && !spec.spreadOverZones()) {
            return null;
        }
        Set<String> zones =
                cluster.machineTypes().all().stream()
                        .filter(
                                type ->
                                        spec.machineTypes() == null
                                                || spec.machineTypes().contains(type.name()))
                        .flatMap(type -> type.zones().stream())
                        .collect(Collectors.toSet());
        return ZoneShortage.zoneBoundWork(
                spec, runTime, waiting, cluster.liveAttempts().countByZone(job), zones);
    }

    /**
     * What stands or is coming, less what is alive there and neither being stopped nor expected to
     * end within the interval.
     */
    List<ZoneShortage.AvailableMachine> availableMachines(
            Map<Job, Double> runTimes, double intervalS, double now) {
        List<ZoneShortage.AvailableMachine> standing = new ArrayList<>();
        for (Machine machine : cluster.fleet().machines()) {
            MachineType type = cluster.machineTypes().get(machine.type());
            if (type == null || !isCountedOn(machine, now)) {
                continue;
            }
            double cpus = machine.freeCpus(type);
            double gpus = machine.freeGpus(type);
            double memGb = machine.freeMemGb(type);
            for (Attempt attempt : machine.attempts()) {
                JobSpec spec = attempt.job.spec;
                if (attempt.live()
                        && (attempt.stopRequested()
                                || endsSoon(
                                        attempt,
                                        runTimes.getOrDefault(attempt.job, 0.0),
                                        intervalS,
                                        now))) {
                    cpus += spec.cpus();
                    gpus += spec.gpus();
                    memGb += spec.memGb();
                }
            }
            standing.add(
                    new ZoneShortage.AvailableMachine(
                            machine.pool(), machine.zone(), cpus, gpus, memGb));
        }
        for (MachineType type : cluster.machineTypes().all()) {
            for (boolean spot : new boolean[] {false, true}) {
                InstancePool pool = new InstancePool(type.name(), spot);
                for (String zone : type.zones()) {
                    for (int i = cluster.instanceLifecycle().requestedCount(pool, zone);
                            i > 0;
                            i--) {
                        standing.add(
                                new ZoneShortage.AvailableMachine(
                                        pool, zone, type.cpus(), type.gpus(), type.memGb()));
                    }
                }
            }
        }
        return standing;
    }

    /**
     * By its prediction; one that has run for longer than predicted may go on for ever, and keeps
     * its place.
     */
    private static boolean endsSoon(Attempt attempt, double runTime, double intervalS, double now) {
        double remaining =
                RunTimePredictor.remainingTime(
                        runTime, attempt.running() ? now - attempt.runningSince() : 0);
        return remaining > 0 && remaining <= intervalS;
    }

    /** Where more can be rented. */
    List<ZoneShortage.ZoneOffer> zoneOffers(List<CapacityPlanner.PoolOffer> offers) {
        List<ZoneShortage.ZoneOffer> sources = new ArrayList<>();
        for (CapacityPlanner.PoolOffer offer : offers) {
            for (String zone : cluster.machineTypes().get(offer.pool().type()).zones()) {
                if (cluster.instanceLifecycle().mayHaveCapacity(offer.pool(), zone)) {
                    sources.add(new ZoneShortage.ZoneOffer(offer, zone));
                }
            }
        }
        return sources;
    }

    /**
     * Whether it stands or is on its way; a silent machine is not counted on: what takes its place
     * boots meanwhile.
     */
    private boolean isCountedOn(Machine machine, double now) {
        boolean coming =
                machine.ready()
                        ? machine.unreachableFor(now) <= cluster.heartbeatTimeoutS()
                        : cluster.bootTracker().isStillExpected(machine, now);
        return !machine.releasing() && !machine.draining() && coming;
    }
}
