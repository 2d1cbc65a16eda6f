package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * What bounds all plans of a pass, so that a job that can neither stop anything nor find room is
 * not weighed against every machine and every task on it.
 */
final class PreemptionBounds {

    private JobSpec.Priority lowestPriority = JobSpec.Priority.PRODUCTION;
    private double mostFreeCpus = Double.NEGATIVE_INFINITY;
    private final Collection<QuotaUsage> quotaUsages;

    /**
     * @param shares as they will be once all that is being stopped is gone
     */
    PreemptionBounds(Collection<QuotaUsage> shares) {
        this.quotaUsages = shares;
    }

    /** A machine with what could be stopped on it. */
    void addMachine(FreeCapacity room, List<PreemptionPlanner.Victim> victims) {
        includeCapacity(room);
        for (PreemptionPlanner.Victim victim : victims) {
            if (victim.job().priority().compareTo(lowestPriority) > 0) {
                lowestPriority = victim.job().priority();
            }
        }
    }

    /** The machine has more room than before. */
    void includeCapacity(FreeCapacity room) {
        mostFreeCpus = Math.max(mostFreeCpus, room.freeCpus);
    }

    /** Whether a plan for the request may exist on any machine. */
    boolean mayHavePlan(PlacementRequest request) {
        boolean stops =
                request.job.priority().compareTo(lowestPriority) < 0
                        || request.withinGuarantee && anyTeamExceedsGuarantee();
        return stops || BinPacker.hasCpus(request, mostFreeCpus);
    }

    /** Looked at anew: a team may come to borrow by what is placed in the same pass. */
    private boolean anyTeamExceedsGuarantee() {
        return quotaUsages.stream().anyMatch(QuotaUsage::exceedsGuarantee);
    }
}
