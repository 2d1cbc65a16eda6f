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
 * How many machines of each type and instance class there should be: WIRE's count for the projected
 * work, and machines for the demand that recent samples let expect. Stateless.
 */
public final class CapacityPlanner {

    /**
     * What can be rented of a pool; prices are per hour.
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

        /** The part of one such machine that a task takes; more than 1 where it does not fit. */
        double machineShare(JobSpec job) {
            double share = job.cpus() / cpus;
            share = Math.max(share, resourceShare(job.memGb(), memGb));
            return Math.max(share, resourceShare(job.gpus(), gpus));
        }

        private static double resourceShare(double needed, double offered) {
            if (offered > 0) {
                return needed / offered;
            }
            return needed > 0 ? UNSATISFIABLE_SHARE : 0;
        }

        /** Whether a task of the job may run on such a machine and fits. */
        private boolean allows(JobSpec job) {
            return (job.spotAllowed() || !pool.spot())
                    && (job.machineTypes() == null || job.machineTypes().contains(pool.type()))
                    && machineShare(job) <= 1;
        }
    }

    /**
     * Tasks, so many alike, that are expected to be active at the next interval.
     *
     * @param remainingS seconds that each is predicted to run from then on
     * @param runningOn the pool that they run on, or null while they wait
     */
    public record ProjectedWork(
            JobSpec job, double remainingS, InstancePool runningOn, int taskCount) {

        private boolean isRunning() {
            return runningOn != null;
        }
    }

    /**
     * CPUs that are expected to be asked for: by work that needs on-demand machines, and by work
     * that may run on spot machines too.
     */
    public record ExpectedDemand(double onDemandCpus, double spotTolerantCpus) {}

    private static final double PRICE_TOLERANCE = 1.1;

    /** Part of a machine for which none more is rented. */
    private static final double NEGLIGIBLE_MACHINE_SHARE = 0.05;

    /** Stands for a task that cannot fit. */
    private static final double UNSATISFIABLE_SHARE = 2;

    private CapacityPlanner() {}

    /**
     * The number of machines to have in each pool for the projected work and the expected demand,
     * whichever is more.
     *
     * @param billingUnitS the billing unit in seconds
     * @param partialMachineShare see {@link MachineCountEstimator#requiredMachines}
     */
    public static Map<InstancePool, Integer> targetMachineCounts(
            List<PoolOffer> offers,
            List<ProjectedWork> work,
            ExpectedDemand expected,
            double billingUnitS,
            double partialMachineShare) {
        PoolLoads loads = new PoolLoads(offers);
        work.stream().filter(ProjectedWork::isRunning).forEach(loads::addRunning);
        work.stream().filter(task -> !task.isRunning()).forEach(loads::addWaiting);
        Map<InstancePool, Integer> targets = new TreeMap<>();
        loads.tasksByPool.forEach(
                (pool, tasks) ->
                        targets.put(
                                pool,
                                MachineCountEstimator.requiredMachines(
                                        tasks, billingUnitS, partialMachineShare)));
        machinesForDemand(offers, expected)
                .forEach((pool, machines) -> targets.merge(pool, machines, Math::max));
        return targets;
    }

    /** The projected tasks of each pool, with the machines that they fill. */
    private static final class PoolLoads {
        final Map<InstancePool, List<UpcomingTasks>> tasksByPool = new TreeMap<>();
        private final Map<InstancePool, Double> occupiedMachinesByPool = new HashMap<>();
        private final List<PoolOffer> offers;

        PoolLoads(List<PoolOffer> offers) {
            this.offers = offers;
            offers.forEach(offer -> tasksByPool.put(offer.pool(), new ArrayList<>()));
        }

        /** Adds work to the pool that it runs on, if that is still on offer. */
        void addRunning(ProjectedWork work) {
            offers.stream()
                    .filter(offer -> offer.pool().equals(work.runningOn()))
                    .findFirst()
                    .ifPresent(offer -> add(offer, work, work.taskCount()));
        }

        /** Divides waiting work among the pools on which its tasks are expected to start. */
        void addWaiting(ProjectedWork work) {
            int left = work.taskCount();
            while (left > 0) {
                PoolOffer offer = chooseOffer(work.job());
                if (offer == null) {
                    return;
                }
                int taskCount = assignableTaskCount(offer, work.job(), left);
                add(offer, work, taskCount);
                left -= taskCount;
            }
        }

        /**
         * As many tasks as the existing machines still hold; all of them where these are full,
         * since what is beyond their capacity goes to one pool.
         */
        private int assignableTaskCount(PoolOffer offer, JobSpec job, int taskCount) {
            double share = Math.min(1, offer.machineShare(job));
            double free = offer.machineCount() - occupiedMachines(offer);
            return share > 0 && free >= share
                    ? (int) Math.max(1, Math.min(taskCount, free / share))
                    : taskCount;
        }

        private double occupiedMachines(PoolOffer offer) {
            return occupiedMachinesByPool.getOrDefault(offer.pool(), 0.0);
        }

        private void add(PoolOffer offer, ProjectedWork work, int taskCount) {
            double share = Math.min(1, offer.machineShare(work.job()));
            tasksByPool
                    .get(offer.pool())
                    .add(new UpcomingTasks(work.remainingS(), share, taskCount));
            occupiedMachinesByPool.merge(offer.pool(), taskCount * share, Double::sum);
        }

        /**
         * Where a waiting task is expected to go: to existing machines, else to a pool that may
         * have capacity, else to any; the cheapest of these. Null where no machine fits.
         */
        private PoolOffer chooseOffer(JobSpec job) {
            PoolOffer best = null;
            int bestPreference = Integer.MAX_VALUE;
            for (PoolOffer offer : offers) {
                if (!offer.allows(job)) {
                    continue;
                }
                int preference = preference(offer, job);
                if (preference < bestPreference
                        || preference == bestPreference && isCheaper(offer, best, job)) {
                    best = offer;
                    bestPreference = preference;
                }
            }
            return best;
        }

        /** Less is better. */
        private int preference(PoolOffer offer, JobSpec job) {
            if (occupiedMachines(offer) + offer.machineShare(job) <= offer.machineCount()) {
                return 0;
            }
            return offer.mayHaveCapacity() ? 1 : 2;
        }
    }

    /**
     * The part of a machine's time that work counts for: what it fills of the time available for
     * it. Where no time is available it counts whole, also when nothing seems left to do: zero
     * divided by zero is not a number, and would spoil every sum that it is part of.
     *
     * @param remainingS seconds that the work is predicted to run
     * @param availableS seconds until it should be complete
     */
    public static double demandWeight(double remainingS, double availableS) {
        return remainingS >= availableS ? 1 : Math.max(0, remainingS) / availableS;
    }

    /**
     * The number of machines in each pool for the expected CPUs. Existing machines come first, spot
     * before on-demand: a pool that may have capacity again after a refusal must not draw the
     * demand away from machines that exist, or all of those would be released at once.
     */
    public static Map<InstancePool, Integer> machinesForDemand(
            List<PoolOffer> offers, ExpectedDemand expected) {
        DemandAssignment assignment = new DemandAssignment(offers);
        double anyLeft = assignment.assignToExistingMachines(true, expected.spotTolerantCpus());
        double onDemandLeft = assignment.assignToExistingMachines(false, expected.onDemandCpus());
        anyLeft = assignment.assignToExistingMachines(false, anyLeft);
        anyLeft = assignment.assignToNewMachines(true, anyLeft);
        assignment.assignToNewMachines(false, onDemandLeft + anyLeft);
        Map<InstancePool, Integer> machines = new HashMap<>();
        for (PoolOffer offer : offers) {
            double cpus = assignment.assignedCpus.getOrDefault(offer.pool(), 0.0);
            machines.put(
                    offer.pool(), (int) Math.ceil(cpus / offer.cpus() - NEGLIGIBLE_MACHINE_SHARE));
        }
        return machines;
    }

    /** Puts expected CPUs on the pools of one instance class after the other, cheapest first. */
    private static final class DemandAssignment {

        /** By the logarithm of the price for a CPU in tenths, since prices within one are alike. */
        private static final Comparator<PoolOffer> CHEAPEST_FIRST =
                Comparator.comparingDouble(
                                (PoolOffer offer) ->
                                        Math.rint(10 * Math.log(offer.price() / offer.cpus())))
                        .thenComparingDouble(PoolOffer::bootS)
                        .thenComparing(PoolOffer::pool);

        final Map<InstancePool, Double> assignedCpus = new HashMap<>();
        private final List<PoolOffer> offers;

        DemandAssignment(List<PoolOffer> offers) {
            this.offers = offers.stream().sorted(CHEAPEST_FIRST).toList();
        }

        /** Uses what is free on existing machines; gives back the CPUs that find no place. */
        double assignToExistingMachines(boolean spot, double cpus) {
            double left = cpus;
            for (PoolOffer offer : offers) {
                if (offer.pool().spot() == spot) {
                    double free =
                            offer.machineCount() * offer.cpus()
                                    - assignedCpus.getOrDefault(offer.pool(), 0.0);
                    left -= assign(offer, Math.max(0, Math.min(left, free)));
                }
            }
            return left;
        }

        /** Uses new machines of the cheapest pool with capacity; gives back the CPUs left. */
        double assignToNewMachines(boolean spot, double cpus) {
            double left = cpus;
            for (PoolOffer offer : offers) {
                if (offer.pool().spot() == spot && offer.mayHaveCapacity()) {
                    left -= assign(offer, left);
                }
            }
            return left;
        }

        private double assign(PoolOffer offer, double cpus) {
            assignedCpus.merge(offer.pool(), cpus, Double::sum);
            return cpus;
        }
    }

    private static boolean isCheaper(PoolOffer first, PoolOffer second, JobSpec job) {
        return isCheaper(first, second, first.machineShare(job), second.machineShare(job));
    }

    /** Prices within a tenth are alike, since they move; of these the faster to boot is better. */
    static boolean isCheaper(
            PoolOffer first, PoolOffer second, double firstShare, double secondShare) {
        double firstCost = first.price() * firstShare;
        double secondCost = second.price() * secondShare;
        return firstCost * PRICE_TOLERANCE < secondCost
                || firstCost < secondCost * PRICE_TOLERANCE && first.bootS() < second.bootS();
    }
}
