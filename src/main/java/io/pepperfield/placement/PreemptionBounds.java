package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * Bounds that hold for all plans of a pass, so that a job that can neither stop anything nor find
 * capacity is not weighed against every machine and every task on it.
 */
final class PreemptionBounds {

    private final Collection<QuotaUsage> quotaUsages;
    private JobSpec.Priority lowestPriority = JobSpec.Priority.PRODUCTION;
    private double mostFreeCpus = Double.NEGATIVE_INFINITY;

    /**
     * @param quotaUsages as they will be once all that is being stopped is gone
     */
    PreemptionBounds(Collection<QuotaUsage> quotaUsages) {
        this.quotaUsages = quotaUsages;
    }

    /** Includes a machine with what could be stopped on it. */
    void addMachine(FreeCapacity capacity, List<PreemptionPlanner.Victim> victims) {
        updateMaxFreeCpus(capacity);
        for (PreemptionPlanner.Victim victim : victims) {
            if (victim.job().priority().compareTo(lowestPriority) > 0) {
                lowestPriority = victim.job().priority();
            }
        }
    }

    /** The machine has more capacity than before. */
    void updateMaxFreeCpus(FreeCapacity capacity) {
        mostFreeCpus = Math.max(mostFreeCpus, capacity.freeCpus);
    }

    /** Whether a plan for the request may exist on any machine. */
    boolean mayHavePlan(PlacementRequest request) {
        return request.job.priority().compareTo(lowestPriority) < 0
                || request.withinGuarantee && anyTeamExceedsGuarantee()
                || MachineFit.hasCpus(request, mostFreeCpus);
    }

    /** Asked anew each time: a team may exceed it by what is placed in the same pass. */
    private boolean anyTeamExceedsGuarantee() {
        return quotaUsages.stream().anyMatch(QuotaUsage::exceedsGuarantee);
    }
}
