package io.pepperfield.capacity;

import io.pepperfield.capacity.MachineCountEstimator.UpcomingTasks;
import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many machines of each type and kind there should be: WIRE's count, and beside it the work
 * expected unseen.
 */
public final class CapacityPlanner {

    /**
     * What can be rented of a pool.
     *
     * @param machineCount machines there are, booting ones included
     * @param mayHaveCapacity whether a request for more is worth making, as far as refusals have
     *     shown
     */
    public record PoolOffer(
            InstancePool pool,
            double cpus,
            double gpus,
            double memGb,
            double price,
            double bootS,
            int machineCount,
            boolean mayHaveCapacity) {

        /** The part of one such machine that a task takes. */
        double machineShare(JobSpec job) {
            double share = job.cpus() / cpus;
            share = Math.max(share, memGb > 0 ? job.memGb() / memGb : job.memGb() > 0 ? 2 : 0);
            return Math.max(share, gpus > 0 ? job.gpus() / gpus : job.gpus() > 0 ? 2 : 0);
        }
    }

    /**
     * Tasks, so many alike, expected to be active at the next interval; {@code on} null while they
     * wait.
     */
    public record ProjectedWork(
            JobSpec job, double remainingS, InstancePool runningOn, int taskCount) {}

    /**
     * CPUs that are expected to be asked for: by work that needs ordinary machines, and by work
     * that does not.
     */
    public record ExpectedDemand(double onDemandCpus, double anyCpus) {}

    private static final double PRICE_TOLERANCE = 1.1;

    private CapacityPlanner() {}

    /** The number of machines to have in each pool for the work and the expected demand. */
    public static Map<InstancePool, Integer> targetMachineCounts(
            List<PoolOffer> offers,
            List<ProjectedWork> work,
            ExpectedDemand expected,
            double unitS,
            double partlyShare) {
        Map<InstancePool, List<UpcomingTasks>> loads = new TreeMap<>();
        Map<InstancePool, Double> shares = new HashMap<>();
        for (PoolOffer offer : offers) {
            loads.put(offer.pool(), new ArrayList<>());
        }
        for (ProjectedWork task : work) {
            PoolOffer offer = task.runningOn() == null ? null : findOffer(offers, task.runningOn());
            if (offer != null) {
                addLoad(offer, task, loads, shares);
            }
        }
        for (ProjectedWork task : work) {
            int left = task.runningOn() == null ? task.taskCount() : 0;
            while (left > 0) {
                PoolOffer offer = chooseOffer(offers, task.job(), shares);
                if (offer == null) {
                    break;
                }
                // As many as the room that stands takes; what is beyond that goes where the rest of
                // it goes as well.
                double share = Math.min(1, offer.machineShare(task.job()));
                double room = offer.machineCount() - shares.getOrDefault(offer.pool(), 0.0);
                int some =
                        share > 0 && room >= share
                                ? (int) Math.max(1, Math.min(left, room / share))
                                : left;
                addLoad(
                        offer,
                        new ProjectedWork(task.job(), task.remainingS(), null, some),
                        loads,
                        shares);
                left -= some;
            }
        }
        Map<InstancePool, Integer> targets = new TreeMap<>();
        loads.forEach(
                (pool, load) ->
                        targets.put(
                                pool,
                                MachineCountEstimator.requiredMachines(load, unitS, partlyShare)));
        machinesForDemand(offers, expected)
                .forEach((pool, machines) -> targets.merge(pool, machines, Math::max));
        return targets;
    }

    /**
     * The part of a machine's time that work counts for: what it fills of the time left for it.
     * Where no time is left it counts whole, also when nothing seems left to do: nought by nought
     * is no number, and would spoil every sum it is in.
     */
    public static double demandWeight(double leftS, double timeS) {
        return leftS >= timeS ? 1 : Math.max(0, leftS) / timeS;
    }

    private static void addLoad(
            PoolOffer offer,
            ProjectedWork task,
            Map<InstancePool, List<UpcomingTasks>> loads,
            Map<InstancePool, Double> shares) {
        double share = Math.min(1, offer.machineShare(task.job()));
        loads.get(offer.pool()).add(new UpcomingTasks(task.remainingS(), share, task.taskCount()));
        shares.merge(offer.pool(), task.taskCount() * share, Double::sum);
    }

    /**
     * Machines for the expected CPUs. What there is comes first, spot before ordinary: a pool that
     * may have machines again after a refusal must not draw the demand away from machines that
     * stand, or all of those would be returned at once.
     */
    public static Map<InstancePool, Integer> machinesForDemand(
            List<PoolOffer> offers, ExpectedDemand expected) {
        Map<InstancePool, Double> cpus = new HashMap<>();
        double any = assignDemand(offers, true, false, expected.anyCpus(), cpus);
        double ordinary = assignDemand(offers, false, false, expected.onDemandCpus(), cpus);
        any = assignDemand(offers, false, false, any, cpus);
        any = assignDemand(offers, true, true, any, cpus);
        assignDemand(offers, false, true, ordinary + any, cpus);
        Map<InstancePool, Integer> machines = new HashMap<>();
        for (PoolOffer offer : offers) {
            machines.put(
                    offer.pool(),
                    (int) Math.ceil(cpus.getOrDefault(offer.pool(), 0.0) / offer.cpus() - 0.05));
        }
        return machines;
    }

    private static PoolOffer findOffer(List<PoolOffer> offers, InstancePool pool) {
        return offers.stream().filter(o -> o.pool().equals(pool)).findFirst().orElse(null);
    }

    /**
     * Where a waiting task is expected to go: room that stands, else a pool that gives machines,
     * else any; the cheapest.
     */
    private static PoolOffer chooseOffer(
            List<PoolOffer> offers, JobSpec job, Map<InstancePool, Double> shares) {
        PoolOffer best = null;
        int bestClass = 3;
        for (PoolOffer offer : offers) {
            boolean allowed =
                    (job.spotAllowed() || !offer.pool().spot())
                            && (job.machineTypes() == null
                                    || job.machineTypes().contains(offer.pool().type()));
            double share = offer.machineShare(job);
            if (!allowed || share > 1) {
                continue;
            }
            int itsClass =
                    shares.getOrDefault(offer.pool(), 0.0) + share <= offer.machineCount()
                            ? 0
                            : offer.mayHaveCapacity() ? 1 : 2;
            if (itsClass < bestClass
                    || itsClass == bestClass
                            && isCheaper(offer, best, share, best.machineShare(job))) {
                best = offer;
                bestClass = itsClass;
            }
        }
        return best;
    }

    /** Prices within a tenth are alike, since they move; then the sooner one is the better. */
    static boolean isCheaper(
            PoolOffer first, PoolOffer second, double firstShare, double secondShare) {
        double firstCost = first.price() * firstShare;
        double secondCost = second.price() * secondShare;
        return firstCost * PRICE_TOLERANCE < secondCost
                || firstCost < secondCost * PRICE_TOLERANCE && first.bootS() < second.bootS();
    }

    /**
     * Puts expected CPUs on the pools of one kind, the cheapest first: on what stands, or on what
     * can be had; gives back the rest.
     */
    private static double assignDemand(
            List<PoolOffer> offers,
            boolean spot,
            boolean more,
            double cpus,
            Map<InstancePool, Double> taken) {
        List<PoolOffer> kind =
                offers.stream()
                        .filter(o -> o.pool().spot() == spot && (!more || o.mayHaveCapacity()))
                        .sorted(
                                Comparator.comparingDouble(
                                                (PoolOffer o) ->
                                                        Math.rint(
                                                                10
                                                                        * Math.log(
                                                                                o.price()
                                                                                        / o
                                                                                                .cpus())))
                                        .thenComparingDouble(PoolOffer::bootS)
                                        .thenComparing(PoolOffer::pool))
                        .toList();
        double left = cpus;
        for (PoolOffer offer : kind) {
            double free =
                    offer.machineCount() * offer.cpus() - taken.getOrDefault(offer.pool(), 0.0);
            double takes = more ? left : Math.max(0, Math.min(left, free));
            taken.merge(offer.pool(), takes, Double::sum);
            left -= takes;
        }
        return left;
    }
}
