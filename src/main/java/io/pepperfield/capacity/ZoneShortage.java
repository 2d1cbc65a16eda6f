package io.pepperfield.capacity;

import io.pepperfield.capacity.MachineCountEstimator.UpcomingTasks;
import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Machines that are short in one zone. The count for each pool does not see it: idle machines of
 * another zone satisfy it while work that may not go there waits for ever.
 */
public final class ZoneShortage {

    /**
     * A machine that stands or is coming, with the room that nothing alive is expected to hold when
     * the next interval begins.
     */
    public record AvailableMachine(
            InstancePool pool, String zone, double cpus, double gpus, double memGb) {}

    /**
     * Waiting tasks that may go to no other zone; null for a gang that has still to find the one
     * zone for all of it.
     */
    public record ZoneBoundWork(JobSpec job, String zone, double remainingS, int taskCount) {

        /**
         * Of tasks that are shorter than the unit several follow each other; a gang's stand side by
         * side.
         */
        private int tasksPerSlot(double unitS) {
            return job.isGang() || remainingS >= unitS
                    ? 1
                    : remainingS > 0 ? (int) (unitS / remainingS) : taskCount;
        }

        private UpcomingTasks toUpcomingTasks(double share, int left, double unitS) {
            return new UpcomingTasks(
                    job.isGang() ? Math.max(remainingS, unitS) : remainingS,
                    Math.min(1, share),
                    left);
        }
    }

    /** A pool that gives machines in that zone. */
    public record ZoneOffer(CapacityPlanner.PoolOffer offer, String zone) {}

    /** Room that is used up as bound work is put on it. */
    private static final class RemainingCapacity {
        final AvailableMachine machine;
        double cpus;
        double gpus;
        double memGb;

        RemainingCapacity(AvailableMachine at) {
            this.machine = at;
            this.cpus = at.cpus();
            this.gpus = at.gpus();
            this.memGb = at.memGb();
        }

        /** How many tasks of the job would find room side by side, up to that many. */
        int fittingTasks(JobSpec job, String zone, int most) {
            if (!machine.zone().equals(zone)
                    || !job.allowsMachine(machine.pool().type(), zone, machine.pool().spot())) {
                return 0;
            }
            return Math.min(
                    Math.min(most, fittingCount(cpus, job.cpus())),
                    Math.min(fittingCount(gpus, job.gpus()), fittingCount(memGb, job.memGb())));
        }

        void allocate(JobSpec job, int some) {
            cpus -= some * job.cpus();
            gpus -= some * job.gpus();
            memGb -= some * job.memGb();
        }

        private static int fittingCount(double free, double each) {
            return each > 0
                    ? (int) Math.max(0, Math.floor(free / each + ROUNDING_TOLERANCE))
                    : Integer.MAX_VALUE;
        }
    }

    private static final double ROUNDING_TOLERANCE = 1e-6;

    private ZoneShortage() {}

    /**
     * The zone to which some of a job's waiting tasks are bound, by what it asks for or by where
     * its other tasks may be alive, with how many they are. Null while more than one zone will do,
     * as for replicas whose first half has no place yet.
     *
     * @param live its tasks that may be alive, by zone
     * @param zones where machines that it allows are on offer
     */
    public static ZoneBoundWork zoneBoundWork(
            JobSpec job,
            double remainingS,
            int waiting,
            Map<String, Integer> live,
            Set<String> zones) {
        if (job.zone() != null) {
            return new ZoneBoundWork(job, job.zone(), remainingS, waiting);
        }
        if (job.sameZone() && job.isGang() && live.isEmpty()) {
            return new ZoneBoundWork(job, null, remainingS, waiting);
        }
        if (job.sameZone()) {
            return live.entrySet().stream()
                    .filter(zone -> zone.getValue() > 0)
                    .findFirst()
                    .map(zone -> new ZoneBoundWork(job, zone.getKey(), remainingS, waiting))
                    .orElse(null);
        }
        if (!job.spreadOverZones()) {
            return null;
        }
        List<String> left =
                zones.stream()
                        .filter(zone -> live.getOrDefault(zone, 0) < job.maxTasksPerZone())
                        .toList();
        return left.size() != 1 || zones.size() == 1
                ? null
                : new ZoneBoundWork(
                        job,
                        left.get(0),
                        remainingS,
                        Math.min(
                                waiting,
                                job.maxTasksPerZone() - live.getOrDefault(left.get(0), 0)));
    }

    /**
     * How many machines of which pool are short in which zone: by WIRE's count of what finds no
     * room on what stands or comes there.
     *
     * @param sources what can be had; a zone of a pool that has refused is none
     */
    public static Map<InstancePool, Map<String, Integer>> missingMachines(
            List<ZoneBoundWork> work,
            List<AvailableMachine> standing,
            List<ZoneOffer> sources,
            double unitS,
            double partlyShare) {
        List<RemainingCapacity> spares = standing.stream().map(RemainingCapacity::new).toList();
        Map<ZoneOffer, List<UpcomingTasks>> loads = new LinkedHashMap<>();
        for (ZoneBoundWork bound : work) {
            String zone =
                    bound.zone() != null ? bound.zone() : zoneLackingLeast(bound, spares, sources);
            int each = bound.tasksPerSlot(unitS);
            int left = bound.taskCount();
            for (RemainingCapacity spare : spares) {
                int slots = spare.fittingTasks(bound.job(), zone, (left + each - 1) / each);
                spare.allocate(bound.job(), slots);
                left -= (int) Math.min(left, (long) each * slots);
            }
            ZoneOffer source = left > 0 ? chooseOffer(sources, bound.job(), zone) : null;
            if (source != null) {
                loads.computeIfAbsent(source, s -> new ArrayList<>())
                        .add(
                                bound.toUpcomingTasks(
                                        source.offer().machineShare(bound.job()), left, unitS));
            }
        }
        Map<InstancePool, Map<String, Integer>> shortages = new TreeMap<>();
        loads.forEach(
                (source, load) ->
                        shortages
                                .computeIfAbsent(source.offer().pool(), p -> new TreeMap<>())
                                .put(
                                        source.zone(),
                                        MachineCountEstimator.requiredMachines(
                                                load, unitS, partlyShare)));
        return shortages;
    }

    /** The zone that lacks least for a gang, among those where it has room or room can be had. */
    private static String zoneLackingLeast(
            ZoneBoundWork gang, List<RemainingCapacity> spares, List<ZoneOffer> sources) {
        Map<String, Integer> rooms = new TreeMap<>();
        for (ZoneOffer source : sources) {
            if (chooseOffer(sources, gang.job(), source.zone()) != null) {
                rooms.put(source.zone(), 0);
            }
        }
        Map<String, Integer> standing = new TreeMap<>();
        spares.forEach(
                spare ->
                        standing.merge(
                                spare.machine.zone(),
                                spare.fittingTasks(
                                        gang.job(), spare.machine.zone(), gang.taskCount()),
                                Integer::sum));
        standing.forEach(
                (zone, room) -> {
                    if (room >= gang.taskCount() || rooms.containsKey(zone)) {
                        rooms.put(zone, room);
                    }
                });
        return rooms.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    private static ZoneOffer chooseOffer(List<ZoneOffer> sources, JobSpec job, String zone) {
        ZoneOffer best = null;
        for (ZoneOffer source : sources) {
            InstancePool pool = source.offer().pool();
            double share = source.offer().machineShare(job);
            if (source.zone().equals(zone)
                    && job.allowsMachine(pool.type(), zone, pool.spot())
                    && share <= 1
                    && (best == null
                            || CapacityPlanner.isCheaper(
                                    source.offer(),
                                    best.offer(),
                                    share,
                                    best.offer().machineShare(job)))) {
                best = source;
            }
        }
        return best;
    }
}
