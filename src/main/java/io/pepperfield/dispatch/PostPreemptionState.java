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
 * Projected machines and quota usages after all pending stops have completed, with the remaining
 * attempts that can be preempted. Modified by the planning of one pass and then discarded.
 */
final class PostPreemptionState {

    private final ClusterView view;
    private final Map<String, QuotaUsage> quotaUsages;
    private final List<PreemptibleMachine> machines = new ArrayList<>();
    private final Map<String, PreemptibleMachine> machinesByName = new HashMap<>();
    private final Map<String, Attempt> attemptsByVictimId = new HashMap<>();

    /**
     * @param quotaUsages by team; the usage of attempts that are being stopped is subtracted
     */
    PostPreemptionState(ClusterView view, Map<String, QuotaUsage> quotaUsages) {
        this.view = view;
        this.quotaUsages = quotaUsages;
        for (FreeCapacity capacity : view.schedulableMachines()) {
            PreemptibleMachine machine =
                    new PreemptibleMachine(capacity, releaseStoppingAttempts(capacity));
            machines.add(machine);
            machinesByName.put(machine.machineName(), machine);
        }
    }

    /** Releases attempts that are being stopped, and returns the others that can be preempted. */
    private List<Victim> releaseStoppingAttempts(FreeCapacity capacity) {
        List<Victim> victims = new ArrayList<>();
        for (Attempt attempt : view.attemptsOn(capacity.machineName())) {
            JobSpec spec = attempt.job.spec;
            QuotaUsage quotaUsage = quotaUsages.get(spec.team());
            if (quotaUsage == null || !attempt.live()) {
                // A team that was removed from the settings has no quota: its tasks are never
                // preempted and run to completion.
                continue;
            }
            if (attempt.stopRequested()) {
                capacity.release(spec, 1);
                quotaUsage.release(spec, 1);
            } else if (hasStarted(attempt)) {
                String id = attempt.taskRef.toString();
                attemptsByVictimId.put(id, attempt);
                victims.add(new Victim(id, attempt.job.effectiveSpec(), view.lostWorkS(attempt)));
            }
        }
        return victims;
    }

    private static boolean hasStarted(Attempt attempt) {
        return attempt.phase() != Attempt.Phase.INTENDED
                && attempt.phase() != Attempt.Phase.ORDERED;
    }

    /** Allocates one task of the request on a machine, but not against its team's quota. */
    void allocateFromMachine(PlacementRequest request, String machineName) {
        machinesByName.get(machineName).allocate(request);
    }

    /** Allocates one task of the request against its team's quota. */
    void allocateFromQuota(PlacementRequest request) {
        quotaUsages.get(request.job().team()).release(request.job(), -1);
    }

    /** Selects the attempts to preempt for the requests, in the order of preemption. */
    List<Attempt> selectVictims(List<PlacementRequest> requests) {
        return PreemptionPlanner.selectVictims(requests, machines, quotaUsages).stream()
                .map(attemptsByVictimId::get)
                .toList();
    }
}
