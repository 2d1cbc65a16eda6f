package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Decides which tasks to stop for waiting ones that found no machine, exactly as far as the
 * protocol allows: for a job of higher priority, or, to give a team its guarantee, work that
 * another team runs beyond its own. Confined to the event loop.
 */
public final class PreemptionPlanner {

    /**
     * A task that could be stopped.
     *
     * @param lostWorkS seconds of its work that would be lost
     */
    public record Victim(String id, JobSpec job, double lostWorkS) {}

    /** The lowest priority first, then what loses least. */
    private static final Comparator<Victim> CHEAPEST_FIRST =
            Comparator.comparing((Victim victim) -> victim.job.priority())
                    .reversed()
                    .thenComparingDouble(victim -> victim.lostWorkS * victim.job.cpus());

    private static final Comparator<PlacementRequest> SERVICE_ORDER =
            Comparator.comparing((PlacementRequest request) -> !request.withinGuarantee)
                    .thenComparing(request -> request.job.priority())
                    .thenComparing(request -> request.readyAt);

    /** A machine with what can be stopped on it; its capacity is what is free or about to be. */
    public static final class PreemptibleMachine {
        private final FreeCapacity capacity;
        private final List<Victim> victims;

        /** Creates a machine; its victims are tried in the order of what their loss costs. */
        public PreemptibleMachine(FreeCapacity capacity, List<Victim> victims) {
            this.capacity = capacity;
            this.victims = new ArrayList<>(victims);
            this.victims.sort(CHEAPEST_FIRST);
        }

        /** The name of the machine. */
        public String machineName() {
            return capacity.machineName;
        }

        /** Takes what one task of the request needs; the machine will have its image. */
        public void allocate(PlacementRequest request) {
            capacity.release(request.job, -1);
            capacity.addCachedImage(request.job.image());
        }
    }

    /** What to stop on one machine, and what the lost work costs in CPU seconds. */
    private record MachinePlan(PreemptibleMachine machine, List<Victim> victims, double cost) {}

    /** Adds up victims on one machine until they free enough for one task of a request. */
    private static final class MachinePlanBuilder {
        private final PlacementRequest request;
        private final PreemptibleMachine machine;
        private final List<Victim> victims = new ArrayList<>();
        private double freeCpus;
        private double freeGpus;
        private double freeMemGb;

        /** What the victims of the request's own team free under its limit. */
        private double ownCpus;

        private double ownGpus;
        private double cost;

        MachinePlanBuilder(PlacementRequest request, PreemptibleMachine machine) {
            this.request = request;
            this.machine = machine;
            this.freeCpus = machine.capacity.freeCpus;
            this.freeGpus = machine.capacity.freeGpus;
            this.freeMemGb = machine.capacity.freeMemGb;
        }

        void add(Victim victim) {
            freeCpus += victim.job.cpus();
            freeGpus += victim.job.gpus();
            freeMemGb += victim.job.memGb();
            if (isSameTeam(request, victim)) {
                ownCpus += victim.job.cpus();
                ownGpus += victim.job.gpus();
            }
            cost += (victim.lostWorkS + 1) * victim.job.cpus();
            victims.add(victim);
        }

        boolean isEnough(QuotaUsage quotaUsage) {
            return MachineFit.hasResources(request, freeCpus, freeGpus, freeMemGb)
                    && quotaUsage.fitsLimit(
                            request.job.cpus() - ownCpus, request.job.gpus() - ownGpus);
        }

        MachinePlan build() {
            return new MachinePlan(machine, victims, cost);
        }
    }

    private final List<PreemptibleMachine> machines;
    private final Map<String, QuotaUsage> quotaUsages;
    private final PreemptionBounds bounds;
    private final List<String> victimIds = new ArrayList<>();

    private PreemptionPlanner(
            List<PreemptibleMachine> machines, Map<String, QuotaUsage> quotaUsages) {
        this.machines = machines;
        this.quotaUsages = quotaUsages;
        this.bounds = new PreemptionBounds(quotaUsages.values());
        machines.forEach(machine -> bounds.addMachine(machine.capacity, machine.victims));
    }

    /**
     * The ids of the tasks to stop. Machines and quotas must count what is already being stopped as
     * free, so that nothing is stopped twice for the same need; they are therefore not those that
     * tasks are started by.
     */
    public static List<String> selectVictims(
            List<PlacementRequest> requests,
            List<PreemptibleMachine> machines,
            Map<String, QuotaUsage> quotaUsages) {
        PreemptionPlanner planner = new PreemptionPlanner(machines, quotaUsages);
        requests.stream()
                .filter(PreemptionPlanner::mayPreemptAtAll)
                .sorted(SERVICE_ORDER)
                .forEach(planner::place);
        return planner.victimIds;
    }

    /**
     * What is lowest and claims no guarantee may stop nothing; a swarm of it would cost a look at
     * all tasks for each.
     */
    private static boolean mayPreemptAtAll(PlacementRequest request) {
        return request.waitingTasks > 0
                && !request.job.isGang()
                && !request.crashLooping
                && (request.withinGuarantee
                        || request.job.priority() != JobSpec.Priority.BEST_EFFORT);
    }

    /**
     * Finds machines for as many tasks of the request as possible. Every machine is weighed once
     * for the request and again only when its turn comes, not once more for each task.
     */
    private void place(PlacementRequest request) {
        if (!bounds.mayHavePlan(request)) {
            return;
        }
        PriorityQueue<MachinePlan> plans =
                new PriorityQueue<>(Comparator.comparingDouble(MachinePlan::cost));
        boolean limited = isLimited(request);
        if (limited || request.unschedulable) {
            addPlans(request, plans);
        }
        while (request.waitingTasks > 0 && !plans.isEmpty()) {
            if (limited == isLimited(request)) {
                placeOneTask(request, plans);
            } else {
                limited = !limited;
                plans.clear();
                addPlans(request, plans);
            }
        }
    }

    /** Whether the limit of the request's team has no place for another task of it. */
    private boolean isLimited(PlacementRequest request) {
        return !quotaUsage(request.job).fitsLimit(request.job.cpus(), request.job.gpus());
    }

    private QuotaUsage quotaUsage(JobSpec job) {
        return quotaUsages.get(job.team());
    }

    private void addPlans(PlacementRequest request, PriorityQueue<MachinePlan> plans) {
        machines.forEach(machine -> cheapestPlan(request, machine).ifPresent(plans::add));
    }

    /** Carries out the cheapest plan, unless it has become dearer since it was made. */
    private void placeOneTask(PlacementRequest request, PriorityQueue<MachinePlan> plans) {
        MachinePlan earlier = plans.poll();
        Optional<MachinePlan> current = cheapestPlan(request, earlier.machine);
        if (current.isEmpty()) {
            return;
        }
        if (current.get().cost > earlier.cost) {
            plans.add(current.get());
            return;
        }
        carryOut(request, current.get());
        cheapestPlan(request, earlier.machine).ifPresent(plans::add);
    }

    private void carryOut(PlacementRequest request, MachinePlan plan) {
        FreeCapacity capacity = plan.machine.capacity;
        request.causedPreemption |= !plan.victims.isEmpty();
        for (Victim victim : plan.victims) {
            plan.machine.victims.remove(victim);
            capacity.release(victim.job, 1);
            bounds.updateMaxFreeCpus(capacity);
            quotaUsage(victim.job).release(victim.job, 1);
            victimIds.add(victim.id);
        }
        BinPacker.allocate(request, capacity, quotaUsage(request.job), 1);
    }

    /**
     * The cheapest way to free enough for one task of the request on that machine; without victims
     * where there is enough already, empty where there is no way.
     */
    private Optional<MachinePlan> cheapestPlan(
            PlacementRequest request, PreemptibleMachine machine) {
        FreeCapacity capacity = machine.capacity;
        if (!MachineFit.isAllowed(request, capacity)) {
            return Optional.empty();
        }
        boolean limited = isLimited(request);
        if (!limited
                && MachineFit.hasResources(
                        request, capacity.freeCpus, capacity.freeGpus, capacity.freeMemGb)) {
            return Optional.of(new MachinePlan(machine, List.of(), 0));
        }
        QuotaUsage quotaUsage = quotaUsage(request.job);
        MachinePlanBuilder plan = new MachinePlanBuilder(request, machine);
        for (Victim victim : machine.victims) {
            // A team at its limit makes room for its higher work by stopping its lower.
            if (!mayPreempt(request, victim) || limited && !isSameTeam(request, victim)) {
                continue;
            }
            plan.add(victim);
            if (plan.isEnough(quotaUsage)) {
                return Optional.of(plan.build());
            }
        }
        return Optional.empty();
    }

    private static boolean isSameTeam(PlacementRequest request, Victim victim) {
        return victim.job.team().equals(request.job.team());
    }

    private boolean mayPreempt(PlacementRequest request, Victim victim) {
        if (request.job.priority().compareTo(victim.job.priority()) < 0) {
            return true;
        }
        // Of any priority by the protocol; but what ranks higher than the guarantee's own work is
        // left alone here.
        return request.withinGuarantee
                && request.job.priority() == victim.job.priority()
                && !isSameTeam(request, victim)
                && runsBeyondGuarantee(victim);
    }

    private boolean runsBeyondGuarantee(Victim victim) {
        QuotaUsage usage = quotaUsage(victim.job);
        return usage != null && usage.usedCpus - victim.job.cpus() >= usage.team.guaranteedCpus();
    }
}
