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
 * Computes how many machines of each type and instance class there should be: WIRE's count for the
 * projected work, or the count for the demand expected from recent samples if that is higher.
 * Stateless.
 */
public final class CapacityPlanner {

    /**
     * An offer of machines of one pool; prices are per hour.
     *
     * @param machineCount existing machines, including booting and requested ones
     * @param mayHaveCapacity whether a request for more machines is worthwhile, judging by earlier
     *     refusals
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

        /** Returns the fraction of one machine that a task uses; more than 1 if it does not fit. */
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

        /** Whether a task of the job may run on a machine of this pool and fits on it. */
        private boolean allows(JobSpec job) {
            return (job.spotAllowed() || !pool.spot())
                    && (job.machineTypes() == null || job.machineTypes().contains(pool.type()))
                    && machineShare(job) <= 1;
        }
    }

    /**
     * A group of identical tasks that are expected to be active when the next interval begins.
     *
     * @param remainingS predicted remaining run time of each task at that time, in seconds
     * @param runningOn the pool on which the tasks run, or null while they wait
     */
    public record ProjectedWork(
            JobSpec job, double remainingS, InstancePool runningOn, int taskCount) {

        private boolean isRunning() {
            return runningOn != null;
        }
    }

    /**
     * Expected demand in CPUs.
     *
     * @param onDemandCpus CPUs of work that requires on-demand machines
     * @param anyCpus CPUs of work that may run on machines of any instance class
     */
    public record ExpectedDemand(double onDemandCpus, double anyCpus) {}

    private static final double PRICE_TOLERANCE = 1.1;

    /** Fraction of a machine up to which no additional machine is rented. */
    private static final double NEGLIGIBLE_MACHINE_SHARE = 0.05;

    /** Machine share of a task that cannot fit; any value above 1 has this meaning. */
    private static final double UNSATISFIABLE_SHARE = 2;

    private CapacityPlanner() {}

    /**
     * Returns the number of machines to have in each pool: the count for the projected work or for
     * the expected demand, whichever is higher.
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

    /** The projected tasks of each pool, with the number of machines that they occupy. */
    private static final class PoolLoads {
        final Map<InstancePool, List<UpcomingTasks>> tasksByPool = new TreeMap<>();
        private final Map<InstancePool, Double> occupiedMachinesByPool = new HashMap<>();
        private final List<PoolOffer> offers;

        PoolLoads(List<PoolOffer> offers) {
            this.offers = offers;
            offers.forEach(offer -> tasksByPool.put(offer.pool(), new ArrayList<>()));
        }

        /** Adds work to the pool on which it runs, if that pool is still offered. */
        void addRunning(ProjectedWork work) {
            offers.stream()
                    .filter(offer -> offer.pool().equals(work.runningOn()))
                    .findFirst()
                    .ifPresent(offer -> add(offer, work, work.taskCount()));
        }

        /** Distributes waiting work among the pools on which its tasks are expected to start. */
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
         * Returns how many tasks still fit on the existing machines. If these are full, returns all
         * tasks, since all work beyond the existing capacity is assigned to one pool.
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
         * Returns the offer on which a waiting task is expected to start, or null if it fits on no
         * machine. Prefers existing machines, then pools that may have capacity, then any other
         * pool, and the cheapest among these.
         */
        private PoolOffer chooseOffer(JobSpec job) {
            PoolOffer best = null;
            int bestRank = Integer.MAX_VALUE;
            for (PoolOffer offer : offers) {
                if (!offer.allows(job)) {
                    continue;
                }
                int rank = rank(offer, job);
                if (rank < bestRank || rank == bestRank && isCheaper(offer, best, job)) {
                    best = offer;
                    bestRank = rank;
                }
            }
            return best;
        }

        /** Returns the rank of an offer for the job; a lower rank is preferred. */
        private int rank(PoolOffer offer, JobSpec job) {
            if (occupiedMachines(offer) + offer.machineShare(job) <= offer.machineCount()) {
                return 0;
            }
            return offer.mayHaveCapacity() ? 1 : 2;
        }
    }

    /**
     * Returns the weight of work in the demand: the fraction of the available time that it fills.
     * If no time is available the weight is 1, even if the work has no time remaining: zero divided
     * by zero is NaN and would invalidate every sum that includes it.
     *
     * @param remainingS predicted remaining run time of the work in seconds
     * @param availableS seconds until the work should be complete
     */
    public static double demandWeight(double remainingS, double availableS) {
        return remainingS >= availableS ? 1 : Math.max(0, remainingS) / availableS;
    }

    /**
     * Returns the number of machines in each pool for the expected CPUs. Existing machines are used
     * first, spot before on-demand. Otherwise a pool that may have capacity again after a refusal
     * would attract the demand, and all existing machines would be released at once.
     */
    public static Map<InstancePool, Integer> machinesForDemand(
            List<PoolOffer> offers, ExpectedDemand expected) {
        DemandAssignment assignment = new DemandAssignment(offers);
        double anyLeft = assignment.assignToExistingMachines(true, expected.anyCpus());
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

    /** Assigns expected CPUs to the pools of one instance class at a time, cheapest first. */
    private static final class DemandAssignment {

        /**
         * Compares the logarithm of the price per CPU, rounded to tenths, so that similar prices
         * count as equal.
         */
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

        /** Assigns CPUs to free capacity of existing machines; returns the CPUs that do not fit. */
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

        /**
         * Assigns CPUs to new machines of the cheapest pool with capacity; returns the CPUs left.
         */
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

    /**
     * Whether the first offer is preferable. Prices within 10% count as equal, since they
     * fluctuate; among these the offer with the shorter boot time is preferable.
     */
    static boolean isCheaper(
            PoolOffer first, PoolOffer second, double firstShare, double secondShare) {
        double firstCost = first.price() * firstShare;
        double secondCost = second.price() * secondShare;
        return firstCost * PRICE_TOLERANCE < secondCost
                || firstCost < secondCost * PRICE_TOLERANCE && first.bootS() < second.bootS();
    }
}
