package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Selects the tasks to preempt for pending tasks that found no machine. The protocol allows two
 * cases: a job may preempt tasks of lower priority, and a job within its team's guarantee may
 * preempt tasks that another team runs beyond its own guarantee. Confined to the event loop.
 */
public final class PreemptionPlanner {

    /**
     * A task that can be preempted.
     *
     * @param lostWorkS seconds of work lost by stopping the task
     */
    public record Victim(String id, JobSpec job, double lostWorkS) {}

    /** Lowest priority first, then least lost work. */
    private static final Comparator<Victim> CHEAPEST_FIRST =
            Comparator.comparing((Victim victim) -> victim.job.priority())
                    .reversed()
                    .thenComparingDouble(victim -> victim.lostWorkS * victim.job.cpus());

    private static final Comparator<PlacementRequest> REQUEST_ORDER =
            Comparator.comparing((PlacementRequest request) -> !request.withinGuarantee)
                    .thenComparing(request -> request.job.priority())
                    .thenComparing(request -> request.readyAt);

    /**
     * A machine and the tasks that can be preempted on it. Its capacity includes that of tasks
     * which are already being stopped.
     */
    public static final class PreemptibleMachine {
        private final FreeCapacity capacity;
        private final List<Victim> victims;

        /** Creates a machine; its victims are tried in the order of {@link #CHEAPEST_FIRST}. */
        public PreemptibleMachine(FreeCapacity capacity, List<Victim> victims) {
            this.capacity = capacity;
            this.victims = new ArrayList<>(victims);
            this.victims.sort(CHEAPEST_FIRST);
        }

        /** Returns the name of the machine. */
        public String machineName() {
            return capacity.machineName;
        }

        /** Allocates the resources of one task and records its image as cached. */
        public void allocate(PlacementRequest request) {
            capacity.release(request.job, -1);
            capacity.addCachedImage(request.job.image());
        }
    }

    /** The tasks to preempt on one machine, and the cost of the lost work in CPU seconds. */
    private record MachinePlan(PreemptibleMachine machine, List<Victim> victims, double cost) {}

    /** Collects victims on one machine until they free enough capacity for one task. */
    private static final class MachinePlanBuilder {
        private final PlacementRequest request;
        private final PreemptibleMachine machine;
        private final List<Victim> victims = new ArrayList<>();
        private double freeCpus;
        private double freeGpus;
        private double freeMemGb;

        /** CPUs that victims of the request's team free under the team's limit. */
        private double sameTeamCpus;

        private double sameTeamGpus;
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
                sameTeamCpus += victim.job.cpus();
                sameTeamGpus += victim.job.gpus();
            }
            cost += (victim.lostWorkS + 1) * victim.job.cpus();
            victims.add(victim);
        }

        boolean isSufficient(QuotaUsage quotaUsage) {
            return MachineFit.hasResources(request, freeCpus, freeGpus, freeMemGb)
                    && quotaUsage.fitsLimit(
                            request.job.cpus() - sameTeamCpus, request.job.gpus() - sameTeamGpus);
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
     * Returns the ids of the tasks to stop. Machines and quotas must count tasks that are already
     * being stopped as free, so that no further task is stopped for the same demand. They therefore
     * differ from those used to start tasks.
     */
    public static List<String> selectVictims(
            List<PlacementRequest> requests,
            List<PreemptibleMachine> machines,
            Map<String, QuotaUsage> quotaUsages) {
        PreemptionPlanner planner = new PreemptionPlanner(machines, quotaUsages);
        requests.stream()
                .filter(PreemptionPlanner::mayPreemptAny)
                .sorted(REQUEST_ORDER)
                .forEach(planner::place);
        return planner.victimIds;
    }

    /**
     * Returns whether the request may preempt any task. Requests of the lowest priority outside
     * their guarantee never may; skipping them saves a scan of all tasks for each of many requests.
     */
    private static boolean mayPreemptAny(PlacementRequest request) {
        return request.pendingTasks > 0
                && !request.job.isGang()
                && !request.crashLooping
                && (request.withinGuarantee
                        || request.job.priority() != JobSpec.Priority.BEST_EFFORT);
    }

    /**
     * Places as many tasks of the request as possible. The plan of a machine is computed once per
     * request and again only when it is the cheapest, rather than for each task.
     */
    private void place(PlacementRequest request) {
        if (!bounds.mayHavePlan(request)) {
            return;
        }
        PriorityQueue<MachinePlan> plans =
                new PriorityQueue<>(Comparator.comparingDouble(MachinePlan::cost));
        boolean atLimit = wouldExceedLimit(request);
        if (atLimit || request.unschedulable) {
            addPlans(request, plans);
        }
        while (request.pendingTasks > 0 && !plans.isEmpty()) {
            if (atLimit == wouldExceedLimit(request)) {
                placeOneTask(request, plans);
            } else {
                atLimit = !atLimit;
                plans.clear();
                addPlans(request, plans);
            }
        }
    }

    /** Returns whether another task of the request would exceed its team's limit. */
    private boolean wouldExceedLimit(PlacementRequest request) {
        return !quotaUsage(request.job).fitsLimit(request.job.cpus(), request.job.gpus());
    }

    private QuotaUsage quotaUsage(JobSpec job) {
        return quotaUsages.get(job.team());
    }

    private void addPlans(PlacementRequest request, PriorityQueue<MachinePlan> plans) {
        machines.forEach(machine -> cheapestPlan(request, machine).ifPresent(plans::add));
    }

    /** Applies the cheapest plan, unless its cost has risen since it was computed. */
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
        apply(request, current.get());
        cheapestPlan(request, earlier.machine).ifPresent(plans::add);
    }

    private void apply(PlacementRequest request, MachinePlan plan) {
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
     * Returns the cheapest plan that frees enough capacity for one task of the request on the
     * machine. The plan has no victims if the free capacity suffices; empty if no plan exists.
     */
    private Optional<MachinePlan> cheapestPlan(
            PlacementRequest request, PreemptibleMachine machine) {
        FreeCapacity capacity = machine.capacity;
        if (!MachineFit.isAllowed(request, capacity)) {
            return Optional.empty();
        }
        boolean atLimit = wouldExceedLimit(request);
        if (!atLimit
                && MachineFit.hasResources(
                        request, capacity.freeCpus, capacity.freeGpus, capacity.freeMemGb)) {
            return Optional.of(new MachinePlan(machine, List.of(), 0));
        }
        QuotaUsage quotaUsage = quotaUsage(request.job);
        MachinePlanBuilder plan = new MachinePlanBuilder(request, machine);
        for (Victim victim : machine.victims) {
            // At the team's limit, only stopping the team's own tasks makes room.
            if (!mayPreempt(request, victim) || atLimit && !isSameTeam(request, victim)) {
                continue;
            }
            plan.add(victim);
            if (plan.isSufficient(quotaUsage)) {
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
        // The protocol allows victims of any priority for a guarantee. This is stricter: tasks of
        // a higher priority than the request are never preempted.
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
