package io.pepperfield.capacity;

import io.pepperfield.capacity.MachineCountEstimator.UpcomingTasks;
import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Machines that are short in one zone. WIRE's count for each pool does not see it: idle machines of
 * another zone satisfy it, while work that may not go there waits for ever. Stateless.
 */
public final class ZoneShortage {

    /**
     * A machine that is ready or booting, with what nothing alive is expected to hold when the next
     * interval begins.
     */
    public record AvailableMachine(
            InstancePool pool, String zone, double cpus, double gpus, double memGb) {}

    /**
     * Waiting tasks that may go to no other zone; null for a gang that has still to find the one
     * zone for all of it.
     */
    public record ZoneBoundWork(JobSpec job, String zone, double remainingS, int taskCount) {

        /**
         * How many tasks follow each other in a slot within a billing unit; those of a gang run
         * side by side.
         */
        private int tasksPerSlot(double billingUnitS) {
            if (job.isGang() || remainingS >= billingUnitS) {
                return 1;
            }
            return remainingS > 0 ? (int) (billingUnitS / remainingS) : taskCount;
        }

        private UpcomingTasks toUpcomingTasks(
                double machineShare, int unplaced, double billingUnitS) {
            return new UpcomingTasks(
                    job.isGang() ? Math.max(remainingS, billingUnitS) : remainingS,
                    Math.min(1, machineShare),
                    unplaced);
        }
    }

    /** What can be rented of a pool in one zone. */
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

    /** What is left of a machine as bound work is put on it. */
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

        /** How many tasks of the job fit side by side, up to {@code maxTasks}. */
        int fittingTasks(JobSpec job, String zone, int maxTasks) {
            if (!machine.zone().equals(zone)
                    || !job.allowsMachine(machine.pool().type(), zone, machine.pool().spot())) {
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

    private ZoneShortage() {}

    /**
     * The part of a job's waiting tasks that may go to one zone only, by what the job asks for or
     * by where its other tasks may be alive. Empty while more than one zone will do, as for
     * replicas whose first half is not placed yet.
     *
     * @param remainingS seconds that each task is predicted to run
     * @param liveByZone the job's tasks that may be alive, by zone
     * @param zones where machines that the job allows are on offer
     */
    public static Optional<ZoneBoundWork> zoneBoundWork(
            JobSpec job,
            double remainingS,
            int waiting,
            Map<String, Integer> liveByZone,
            Set<String> zones) {
        if (job.zone() != null) {
            return Optional.of(new ZoneBoundWork(job, job.zone(), remainingS, waiting));
        }
        if (job.sameZone()) {
            return sameZoneWork(job, remainingS, waiting, liveByZone);
        }
        return job.spreadOverZones()
                ? spreadWork(job, remainingS, waiting, liveByZone, zones)
                : Optional.empty();
    }

    private static Optional<ZoneBoundWork> sameZoneWork(
            JobSpec job, double remainingS, int waiting, Map<String, Integer> liveByZone) {
        if (job.isGang() && liveByZone.isEmpty()) {
            return Optional.of(new ZoneBoundWork(job, null, remainingS, waiting));
        }
        return liveByZone.entrySet().stream()
                .filter(zone -> zone.getValue() > 0)
                .findFirst()
                .map(zone -> new ZoneBoundWork(job, zone.getKey(), remainingS, waiting));
    }

    /** Replicas are bound once only one zone may take more of them. */
    private static Optional<ZoneBoundWork> spreadWork(
            JobSpec job,
            double remainingS,
            int waiting,
            Map<String, Integer> liveByZone,
            Set<String> zones) {
        List<String> openZones =
                zones.stream()
                        .filter(zone -> liveByZone.getOrDefault(zone, 0) < job.maxTasksPerZone())
                        .toList();
        if (openZones.size() != 1 || zones.size() == 1) {
            return Optional.empty();
        }
        String zone = openZones.get(0);
        int allowed = job.maxTasksPerZone() - liveByZone.getOrDefault(zone, 0);
        return Optional.of(new ZoneBoundWork(job, zone, remainingS, Math.min(waiting, allowed)));
    }

    /**
     * The machines that each zone lacks, by pool and zone: WIRE's count for the work that does not
     * fit on the machines that are ready or booting there.
     *
     * @param zoneOffers what can be rented; a pool's zone that has refused is not among them
     * @param billingUnitS the billing unit in seconds
     * @param partialMachineShare see {@link MachineCountEstimator#requiredMachines}
     */
    public static Map<InstancePool, Map<String, Integer>> missingMachines(
            List<ZoneBoundWork> work,
            List<AvailableMachine> available,
            List<ZoneOffer> zoneOffers,
            double billingUnitS,
            double partialMachineShare) {
        List<RemainingCapacity> capacities =
                available.stream().map(RemainingCapacity::new).toList();
        Map<ZoneOffer, List<UpcomingTasks>> loads = new LinkedHashMap<>();
        for (ZoneBoundWork bound : work) {
            String zone =
                    bound.zone() != null
                            ? bound.zone()
                            : zoneWithSmallestShortage(bound, capacities, zoneOffers);
            int unplaced = allocate(bound, zone, capacities, billingUnitS);
            ZoneOffer offer = unplaced > 0 ? chooseOffer(zoneOffers, bound.job(), zone) : null;
            if (offer != null) {
                double machineShare = offer.offer().machineShare(bound.job());
                loads.computeIfAbsent(offer, added -> new ArrayList<>())
                        .add(bound.toUpcomingTasks(machineShare, unplaced, billingUnitS));
            }
        }
        return machinesForLoads(loads, billingUnitS, partialMachineShare);
    }

    /** Puts work on the machines of a zone; gives back how many tasks find no place there. */
    private static int allocate(
            ZoneBoundWork bound,
            String zone,
            List<RemainingCapacity> capacities,
            double billingUnitS) {
        int tasksPerSlot = bound.tasksPerSlot(billingUnitS);
        int unplaced = bound.taskCount();
        for (RemainingCapacity capacity : capacities) {
            int neededSlots = (unplaced + tasksPerSlot - 1) / tasksPerSlot;
            int slots = capacity.fittingTasks(bound.job(), zone, neededSlots);
            capacity.allocate(bound.job(), slots);
            unplaced -= (int) Math.min(unplaced, (long) tasksPerSlot * slots);
        }
        return unplaced;
    }

    private static Map<InstancePool, Map<String, Integer>> machinesForLoads(
            Map<ZoneOffer, List<UpcomingTasks>> loads,
            double billingUnitS,
            double partialMachineShare) {
        Map<InstancePool, Map<String, Integer>> shortages = new TreeMap<>();
        loads.forEach(
                (offer, load) ->
                        shortages
                                .computeIfAbsent(offer.offer().pool(), pool -> new TreeMap<>())
                                .put(
                                        offer.zone(),
                                        MachineCountEstimator.requiredMachines(
                                                load, billingUnitS, partialMachineShare)));
        return shortages;
    }

    /**
     * The zone that lacks least for a gang, among those that have capacity or may get it; null
     * where there is none.
     */
    private static String zoneWithSmallestShortage(
            ZoneBoundWork gang, List<RemainingCapacity> capacities, List<ZoneOffer> zoneOffers) {
        Map<String, Integer> fittingTasks = new TreeMap<>();
        for (ZoneOffer offer : zoneOffers) {
            if (chooseOffer(zoneOffers, gang.job(), offer.zone()) != null) {
                fittingTasks.put(offer.zone(), 0);
            }
        }
        Map<String, Integer> fittingNow = new TreeMap<>();
        for (RemainingCapacity capacity : capacities) {
            String zone = capacity.machine.zone();
            int tasks = capacity.fittingTasks(gang.job(), zone, gang.taskCount());
            fittingNow.merge(zone, tasks, Integer::sum);
        }
        fittingNow.forEach(
                (zone, tasks) -> {
                    if (tasks >= gang.taskCount() || fittingTasks.containsKey(zone)) {
                        fittingTasks.put(zone, tasks);
                    }
                });
        return fittingTasks.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    /**
     * The cheapest offer of that zone on which a task of the job fits; null where there is none.
     */
    private static ZoneOffer chooseOffer(List<ZoneOffer> zoneOffers, JobSpec job, String zone) {
        ZoneOffer best = null;
        for (ZoneOffer candidate : zoneOffers) {
            if (candidate.zone().equals(zone)
                    && candidate.allows(job)
                    && (best == null || candidate.isCheaperThan(best, job))) {
                best = candidate;
            }
        }
        return best;
    }
}
