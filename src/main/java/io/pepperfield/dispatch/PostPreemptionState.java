package io.pepperfield.dispatch;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.PreemptionPlanner;
import io.pepperfield.placement.PreemptionPlanner.PreemptibleMachine;
import io.pepperfield.placement.PreemptionPlanner.Victim;
import io.pepperfield.placement.QuotaUsage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The machines and quotas as they will be once all that is being stopped is gone, with what else
 * could be stopped. Used up by the plan that it is made for.
 */
final class PostPreemptionState {

    private final ClusterView view;
    private final Map<String, QuotaUsage> quotaUsages;
    private final List<PreemptibleMachine> machines = new ArrayList<>();
    private final Map<String, PreemptibleMachine> machinesByName = new HashMap<>();
    private final Map<String, Attempt> attemptsByVictimId = new HashMap<>();

    /**
     * @param quotaUsages by team; what is being stopped is released from them
     */
    PostPreemptionState(ClusterView view, Map<String, QuotaUsage> quotaUsages) {
        this.view = view;
        this.quotaUsages = quotaUsages;
        for (FreeCapacity capacity : view.schedulableMachines()) {
            PreemptibleMachine machine = new PreemptibleMachine(capacity, releaseStopped(capacity));
            machines.add(machine);
            machinesByName.put(machine.machineName(), machine);
        }
    }

    /** Releases what is being stopped on the machine, and finds what else could be stopped. */
    private List<Victim> releaseStopped(FreeCapacity capacity) {
        List<Victim> victims = new ArrayList<>();
        for (Attempt attempt : view.attemptsOn(capacity.machineName())) {
            JobSpec spec = attempt.job.spec;
            QuotaUsage quotaUsage = quotaUsages.get(spec.team());
            if (quotaUsage == null || !attempt.live()) {
                // A team that the settings no longer name has no quota to count by: its tasks are
                // left to end.
                continue;
            }
            if (attempt.stopRequested()) {
                capacity.release(spec, 1);
                quotaUsage.release(spec, 1);
            } else if (hasBegun(attempt)) {
                String id = attempt.taskRef.toString();
                attemptsByVictimId.put(id, attempt);
                victims.add(new Victim(id, attempt.job.effectiveSpec(), view.lostWorkS(attempt)));
            }
        }
        return victims;
    }

    private static boolean hasBegun(Attempt attempt) {
        return attempt.phase() != Attempt.Phase.INTENDED
                && attempt.phase() != Attempt.Phase.ORDERED;
    }

    /** Takes what one task of the request needs off a machine, but not off its team's quota. */
    void allocateFromMachine(PlacementRequest request, String machineName) {
        machinesByName.get(machineName).allocate(request);
    }

    /** Takes what one task of the request needs off its team's quota. */
    void allocateFromQuota(PlacementRequest request) {
        quotaUsages.get(request.job().team()).release(request.job(), -1);
    }

    /** Chooses the attempts to stop for the requests, in the order in which they are stopped. */
    List<Attempt> selectVictims(List<PlacementRequest> requests) {
        return PreemptionPlanner.selectVictims(requests, machines, quotaUsages).stream()
                .map(attemptsByVictimId::get)
                .toList();
    }
}
