package io.pepperfield.autoscaling;

import io.pepperfield.capacity.InstancePool;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Rents the machines that a pool lacks, and returns those that it has too many. */
final class PoolScaler {

    private final ClusterState cluster;
    private final double billingUnitS;

    PoolScaler(ClusterState cluster) {
        this.cluster = cluster;
        this.billingUnitS = cluster.settings().operators().billingUnitS();
    }

    /**
     * Batched calls for each zone, so that the zones that still give machines come to about the
     * same number.
     *
     * @param first what is short in single zones, which is part of the count
     */
    void scaleOut(InstancePool pool, int count, Map<String, Integer> first) {
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.pool().equals(pool)) {
                perZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        List<String> open =
                cluster.machineTypes().get(pool.type()).zones().stream()
                        .filter(z -> cluster.instanceLifecycle().mayHaveCapacity(pool, z))
                        .sorted()
                        .toList();
        if (open.isEmpty()) {
            return;
        }
        // Where machines come late or not at all, what waits has nowhere to go: such zones only if
        // there is no other.
        List<String> prompt =
                open.stream()
                        .filter(
                                z ->
                                        !cluster.bootTracker()
                                                .late(cluster.machineTypes().get(pool.type()), z))
                        .toList();
        List<String> zones = prompt.isEmpty() ? open : prompt;
        Map<String, Integer> shares = new LinkedHashMap<>(first);
        first.forEach((zone, n) -> perZone.merge(zone, n, Integer::sum));
        for (int i = first.values().stream().mapToInt(Integer::intValue).sum(); i < count; i++) {
            String zone =
                    zones.stream()
                            .min(Comparator.comparingInt(z -> perZone.getOrDefault(z, 0)))
                            .orElseThrow();
            perZone.merge(zone, 1, Integer::sum);
            shares.merge(zone, 1, Integer::sum);
        }
        shares.forEach((zone, n) -> cluster.instanceLifecycle().rent(pool, zone, n));
    }

    /**
     * WIRE's algorithm 2: of a surplus those go whose charge ends within the interval and that are
     * cheap to restart. Not from zones that are short at the same time: what is rented there would
     * be returned and rented for ever.
     */
    void scaleIn(
            InstancePool pool, int surplus, Set<String> shortZones, double intervalS, double now) {
        /** A machine that could be returned, and what work its return would cost. */
        record Candidate(Machine machine, double cost) {}
        double most = cluster.settings().operators().restartCostShare() * billingUnitS;
        cluster.fleet().machines().stream()
                .filter(
                        m ->
                                m.ready()
                                        && !m.releasing()
                                        && !m.draining()
                                        && m.pool().equals(pool)
                                        && !m.holdsReplica()
                                        && !shortZones.contains(m.zone()))
                .filter(
                        m ->
                                billingUnitS - (now - m.rentedAt())
                                        <= Math.min(intervalS, cluster.heartbeatIntervalS()))
                .map(m -> new Candidate(m, restartCost(m, now)))
                .filter(c -> c.cost <= most)
                .sorted(
                        Comparator.comparingDouble(Candidate::cost)
                                .thenComparing(c -> c.machine.name))
                .limit(surplus)
                .toList()
                .forEach(c -> cluster.instanceLifecycle().release(c.machine, "surplus"));
    }

    private static double restartCost(Machine machine, double now) {
        double cost = 0;
        for (Attempt attempt : machine.attempts()) {
            if (attempt.live()) {
                cost = Math.max(cost, ClusterState.lostWorkS(attempt, now));
            }
        }
        return cost;
    }
}
