package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * What bounds all plans of a pass, so that a job that can neither stop anything nor find room is
 * not weighed against every machine and every task on it.
 */
final class PreemptionBounds {

    private JobSpec.Rank lowest = JobSpec.Rank.PRODUCTION;
    private double widest = Double.NEGATIVE_INFINITY;
    private final Collection<Share> shares;

    /**
     * @param shares as they will be once all that is being stopped is gone
     */
    PreemptionBounds(Collection<Share> shares) {
        this.shares = shares;
    }

    /** A machine with what could be stopped on it. */
    void add(Room room, List<Preemption.Victim> victims) {
        widen(room);
        for (Preemption.Victim victim : victims) {
            if (victim.job().rank().compareTo(lowest) > 0) {
                lowest = victim.job().rank();
            }
        }
    }

    /** The machine has more room than before. */
    void widen(Room room) {
        widest = Math.max(widest, room.cpus);
    }

    /** Whether a plan for the request may exist on any machine. */
    boolean allow(PlacementRequest request) {
        boolean stops =
                request.job.rank().compareTo(lowest) < 0 || request.guaranteed && anyBorrows();
        return stops || Placer.holdsCpus(request, widest);
    }

    /** Looked at anew: a team may come to borrow by what is placed in the same pass. */
    private boolean anyBorrows() {
        return shares.stream().anyMatch(Share::borrows);
    }
}
