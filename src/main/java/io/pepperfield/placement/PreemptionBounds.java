package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * Bounds over all machines of a pass. They exclude requests that can neither preempt a task nor
 * find free capacity, without checking every machine and every task on it.
 */
final class PreemptionBounds {

    private final Collection<QuotaUsage> quotaUsages;
    private JobSpec.Priority lowestPriority = JobSpec.Priority.PRODUCTION;
    private double maxFreeCpus = Double.NEGATIVE_INFINITY;

    /**
     * @param quotaUsages the quota usages after all pending stops have completed
     */
    PreemptionBounds(Collection<QuotaUsage> quotaUsages) {
        this.quotaUsages = quotaUsages;
    }

    /** Includes a machine and the tasks that could be preempted on it. */
    void addMachine(FreeCapacity capacity, List<PreemptionPlanner.Victim> victims) {
        updateMaxFreeCpus(capacity);
        for (PreemptionPlanner.Victim victim : victims) {
            if (victim.job().priority().compareTo(lowestPriority) > 0) {
                lowestPriority = victim.job().priority();
            }
        }
    }

    /** Raises the maximum after the free capacity of a machine has grown. */
    void updateMaxFreeCpus(FreeCapacity capacity) {
        maxFreeCpus = Math.max(maxFreeCpus, capacity.freeCpus);
    }

    /** Returns whether any machine may have a preemption plan for the request. */
    boolean mayHavePlan(PlacementRequest request) {
        return request.job.priority().compareTo(lowestPriority) < 0
                || request.withinGuarantee && anyTeamExceedsGuarantee()
                || MachineFit.hasCpus(request, maxFreeCpus);
    }

    /** Not cached: a placement in the same pass may take a team beyond its guarantee. */
    private boolean anyTeamExceedsGuarantee() {
        return quotaUsages.stream().anyMatch(QuotaUsage::exceedsGuarantee);
    }
}
