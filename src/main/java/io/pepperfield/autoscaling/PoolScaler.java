package io.pepperfield.autoscaling;

import io.pepperfield.capacity.InstancePool;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Rents the missing machines of a pool and releases its surplus ones. */
final class PoolScaler {

    private final ClusterState cluster;
    private final double billingUnitS;

    PoolScaler(ClusterState cluster) {
        this.cluster = cluster;
        this.billingUnitS = cluster.settings().operators().billingUnitS();
    }

    /**
     * Rents machines with one request per zone, balancing the number of machines across the zones
     * that may have capacity.
     *
     * @param count total number of machines to rent
     * @param shortages machines missing in individual zones, included in {@code count}
     */
    void scaleOut(InstancePool pool, int count, Map<String, Integer> shortages) {
        List<String> zones = preferredZones(pool);
        if (zones.isEmpty()) {
            return;
        }
        Map<String, Integer> machinesPerZone = machinesPerZone(pool);
        Map<String, Integer> rentals = new LinkedHashMap<>(shortages);
        shortages.forEach((zone, missing) -> machinesPerZone.merge(zone, missing, Integer::sum));
        int rented = shortages.values().stream().mapToInt(Integer::intValue).sum();
        for (; rented < count; rented++) {
            String zone =
                    zones.stream()
                            .min(
                                    Comparator.comparingInt(
                                            name -> machinesPerZone.getOrDefault(name, 0)))
                            .orElseThrow();
            machinesPerZone.merge(zone, 1, Integer::sum);
            rentals.merge(zone, 1, Integer::sum);
        }
        rentals.forEach((zone, machines) -> cluster.instanceLifecycle().rent(pool, zone, machines));
    }

    private Map<String, Integer> machinesPerZone(InstancePool pool) {
        Map<String, Integer> machinesPerZone = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.pool().equals(pool)) {
                machinesPerZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        return machinesPerZone;
    }

    /**
     * Returns the zones that may have capacity, sorted by name. Zones where machines boot late or
     * not at all are excluded, unless there are no others: pending work must not be left without
     * machines.
     */
    private List<String> preferredZones(InstancePool pool) {
        MachineType type = cluster.machineTypes().get(pool.type());
        List<String> zonesWithCapacity =
                type.zones().stream()
                        .filter(zone -> cluster.instanceLifecycle().mayHaveCapacity(pool, zone))
                        .sorted()
                        .toList();
        List<String> zonesWithoutDelay =
                zonesWithCapacity.stream()
                        .filter(zone -> !cluster.bootTracker().isBootLate(type, zone))
                        .toList();
        return zonesWithoutDelay.isEmpty() ? zonesWithCapacity : zonesWithoutDelay;
    }

    /** A machine that could be released, and the seconds of work that its release would lose. */
    private record Candidate(Machine machine, double restartCostS) {}

    /**
     * WIRE's algorithm 2: releases those surplus machines whose billing unit ends within the
     * interval and whose tasks are cheap to restart. Zones with a shortage are excluded, since
     * their machines would be released and rented again repeatedly.
     */
    void scaleIn(
            InstancePool pool, int surplus, Set<String> shortZones, double intervalS, double now) {
        double maxRestartCostS = cluster.settings().operators().restartCostShare() * billingUnitS;
        double horizonS = Math.min(intervalS, cluster.heartbeatIntervalS());
        cluster.fleet().machines().stream()
                .filter(machine -> machine.pool().equals(pool) && isReleasable(machine))
                .filter(machine -> !shortZones.contains(machine.zone()))
                .filter(machine -> billingUnitS - (now - machine.rentedAt()) <= horizonS)
                .map(machine -> new Candidate(machine, restartCostS(machine, now)))
                .filter(candidate -> candidate.restartCostS <= maxRestartCostS)
                .sorted(
                        Comparator.comparingDouble(Candidate::restartCostS)
                                .thenComparing(candidate -> candidate.machine.name))
                .limit(surplus)
                .toList()
                .forEach(
                        candidate ->
                                cluster.instanceLifecycle().release(candidate.machine, "surplus"));
    }

    private static boolean isReleasable(Machine machine) {
        return machine.ready()
                && !machine.releasing()
                && !machine.draining()
                && !machine.holdsReplica();
    }

    private static double restartCostS(Machine machine, double now) {
        double costS = 0;
        for (Attempt attempt : machine.attempts()) {
            if (attempt.live()) {
                costS = Math.max(costS, ClusterState.lostWorkS(attempt, now));
            }
        }
        return costS;
    }
}
