package io.pepperfield.capacity;

import io.pepperfield.capacity.MachineCountEstimator.UpcomingTasks;
import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Computes the machines that are missing for work that may not run on every machine of its pools.
 * WIRE's count for each pool does not show these shortages: idle machines in another zone satisfy
 * the count, while work that may not run there waits forever, and so does a faulty machine while
 * the job that failed there has no other. An instance serves one computation.
 */
public final class PlacementShortage {

    /**
     * A ready, booting or requested machine, with the capacity that no live attempt is expected to
     * use when the next interval begins.
     */
    public record AvailableMachine(
            String name, InstancePool pool, String zone, double cpus, double gpus, double memGb) {

        /** Creates a machine that is requested, and has no name yet. */
        public static AvailableMachine requested(
                InstancePool pool, String zone, double cpus, double gpus, double memGb) {
            return new AvailableMachine("", pool, zone, cpus, gpus, memGb);
        }
    }

    /**
     * The machines missing in one pool.
     *
     * @param byZone the machines missing in individual zones
     * @param inAnyZone the machines missing in addition, in any zone
     */
    public record PoolShortage(Map<String, Integer> byZone, int inAnyZone) {

        /** No machine is missing. */
        public static final PoolShortage NONE = new PoolShortage(Map.of(), 0);

        /** Returns the number of missing machines. */
        public int total() {
            return byZone.values().stream().mapToInt(Integer::intValue).sum() + inAnyZone;
        }

        private PoolShortage plus(PoolShortage other) {
            Map<String, Integer> zones = new TreeMap<>(byZone);
            other.byZone.forEach((zone, machines) -> zones.merge(zone, machines, Integer::sum));
            return new PoolShortage(zones, inAnyZone + other.inAnyZone);
        }
    }

    /** An offer of a pool in one zone. */
    public record ZoneOffer(CapacityPlanner.PoolOffer offer, String zone) {

        private boolean allows(JobSpec job) {
            InstancePool pool = offer.pool();
            return job.allowsMachine(pool.type(), zone, pool.spot())
                    && offer.machineShare(job) <= 1;
        }

        private boolean isCheaperThan(ZoneOffer other, JobSpec job) {
            return CapacityPlanner.isCheaper(
                    offer, other.offer, offer.machineShare(job), other.offer.machineShare(job));
        }
    }

    /** The remaining capacity of a machine while work is assigned to it. */
    private static final class RemainingCapacity {
        final AvailableMachine machine;
        double cpus;
        double gpus;
        double memGb;

        RemainingCapacity(AvailableMachine machine) {
            this.machine = machine;
            this.cpus = machine.cpus();
            this.gpus = machine.gpus();
            this.memGb = machine.memGb();
        }

        /**
         * Returns how many tasks of the work fit concurrently, up to {@code maxTasks}.
         *
         * @param zone the only zone in which to look, or null for all zones
         */
        int fittingTasks(RestrictedWork work, String zone, int maxTasks) {
            JobSpec job = work.job();
            InstancePool pool = machine.pool();
            if (zone != null && !machine.zone().equals(zone)
                    || work.failedMachines().contains(machine.name())
                    || !job.allowsMachine(pool.type(), machine.zone(), pool.spot())) {
                return 0;
            }
            return Math.min(
                    Math.min(maxTasks, fittingCount(cpus, job.cpus())),
                    Math.min(fittingCount(gpus, job.gpus()), fittingCount(memGb, job.memGb())));
        }

        void allocate(JobSpec job, int taskCount) {
            cpus -= taskCount * job.cpus();
            gpus -= taskCount * job.gpus();
            memGb -= taskCount * job.memGb();
        }

        private static int fittingCount(double free, double perTask) {
            return perTask > 0
                    ? (int) Math.max(0, Math.floor(free / perTask + ROUNDING_TOLERANCE))
                    : Integer.MAX_VALUE;
        }
    }

    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final List<RemainingCapacity> capacities;
    private final List<ZoneOffer> zoneOffers;
    private final double billingUnitS;
    private final Map<ZoneOffer, List<UpcomingTasks>> loadsInOneZone = new LinkedHashMap<>();
    private final Map<ZoneOffer, List<UpcomingTasks>> loadsInAnyZone = new LinkedHashMap<>();

    private PlacementShortage(
            List<AvailableMachine> available, List<ZoneOffer> zoneOffers, double billingUnitS) {
        this.capacities = available.stream().map(RemainingCapacity::new).toList();
        this.zoneOffers = zoneOffers;
        this.billingUnitS = billingUnitS;
    }

    /**
     * Returns the missing machines by pool: WIRE's count for the work that does not fit on the
     * ready or booting machines on which it may run.
     *
     * @param zoneOffers offers in zones; excludes zones that have refused a request for the pool
     * @param billingUnitS the billing unit in seconds
     * @param partialMachineShare see {@link MachineCountEstimator#requiredMachines}
     */
    public static Map<InstancePool, PoolShortage> missingMachines(
            List<RestrictedWork> work,
            List<AvailableMachine> available,
            List<ZoneOffer> zoneOffers,
            double billingUnitS,
            double partialMachineShare) {
        PlacementShortage shortage = new PlacementShortage(available, zoneOffers, billingUnitS);
        work.forEach(shortage::add);
        // For work in any zone the count of the pool lacks no more than the failed machines.
        int maxInAnyZone = countFailedMachines(work, available);
        return shortage.machinesForLoads(partialMachineShare, maxInAnyZone);
    }

    private static int countFailedMachines(
            List<RestrictedWork> work, List<AvailableMachine> available) {
        Set<String> failed = new HashSet<>();
        work.forEach(restricted -> failed.addAll(restricted.failedMachines()));
        return (int) available.stream().filter(machine -> failed.contains(machine.name())).count();
    }

    /** Assigns work to available machines; what does not fit is a load for the cheapest offer. */
    private void add(RestrictedWork work) {
        boolean oneZone = work.isBoundToOneZone();
        String zone = oneZone && work.zone() == null ? zoneWithSmallestShortage(work) : work.zone();
        if (oneZone && zone == null) {
            return;
        }
        int unplaced = allocate(work, zone);
        ZoneOffer offer = unplaced > 0 ? chooseOffer(work.job(), zone) : null;
        if (offer != null) {
            double machineShare = offer.offer().machineShare(work.job());
            (oneZone ? loadsInOneZone : loadsInAnyZone)
                    .computeIfAbsent(offer, added -> new ArrayList<>())
                    .add(work.toUpcomingTasks(machineShare, unplaced, billingUnitS));
        }
    }

    private Map<InstancePool, PoolShortage> machinesForLoads(
            double partialMachineShare, int maxInAnyZone) {
        Map<InstancePool, PoolShortage> shortages = new TreeMap<>();
        loadsInOneZone.forEach(
                (offer, load) -> {
                    int machines = requiredMachines(load, partialMachineShare);
                    merge(shortages, offer, new PoolShortage(Map.of(offer.zone(), machines), 0));
                });
        loadsInAnyZone.forEach(
                (offer, load) -> {
                    int machines = requiredMachines(load, partialMachineShare);
                    int allowed = Math.min(machines, maxInAnyZone);
                    merge(shortages, offer, new PoolShortage(Map.of(), allowed));
                });
        return shortages;
    }

    private int requiredMachines(List<UpcomingTasks> load, double partialMachineShare) {
        return MachineCountEstimator.requiredMachines(load, billingUnitS, partialMachineShare);
    }

    private static void merge(
            Map<InstancePool, PoolShortage> shortages, ZoneOffer offer, PoolShortage shortage) {
        shortages.merge(offer.offer().pool(), shortage, PoolShortage::plus);
    }

    /**
     * Assigns work to the machines in a zone, or in all zones if it is null; returns the number of
     * tasks that do not fit.
     */
    private int allocate(RestrictedWork restricted, String zone) {
        int tasksPerSlot = restricted.tasksPerSlot(billingUnitS);
        int unplaced = restricted.taskCount();
        for (RemainingCapacity capacity : capacities) {
            int neededSlots = (unplaced + tasksPerSlot - 1) / tasksPerSlot;
            int slots = capacity.fittingTasks(restricted, zone, neededSlots);
            capacity.allocate(restricted.job(), slots);
            unplaced -= (int) Math.min(unplaced, (long) tasksPerSlot * slots);
        }
        return unplaced;
    }

    /**
     * Returns the zone with the smallest shortage for a gang, among the zones that have capacity or
     * may get it; null if there is none.
     */
    private String zoneWithSmallestShortage(RestrictedWork gang) {
        Map<String, Integer> fittingTasksByZone = new TreeMap<>();
        for (ZoneOffer offer : zoneOffers) {
            if (chooseOffer(gang.job(), offer.zone()) != null) {
                fittingTasksByZone.put(offer.zone(), 0);
            }
        }
        Map<String, Integer> fittingNowByZone = new TreeMap<>();
        for (RemainingCapacity capacity : capacities) {
            String zone = capacity.machine.zone();
            int tasks = capacity.fittingTasks(gang, zone, gang.taskCount());
            fittingNowByZone.merge(zone, tasks, Integer::sum);
        }
        fittingNowByZone.forEach(
                (zone, tasks) -> {
                    if (tasks >= gang.taskCount() || fittingTasksByZone.containsKey(zone)) {
                        fittingTasksByZone.put(zone, tasks);
                    }
                });
        return fittingTasksByZone.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    /**
     * Returns the cheapest offer in the zone, or in any zone if it is null, on which a task of the
     * job fits; null if there is none.
     */
    private ZoneOffer chooseOffer(JobSpec job, String zone) {
        ZoneOffer best = null;
        for (ZoneOffer candidate : zoneOffers) {
            if ((zone == null || candidate.zone().equals(zone))
                    && candidate.allows(job)
                    && (best == null || candidate.isCheaperThan(best, job))) {
                best = candidate;
            }
        }
        return best;
    }
}
