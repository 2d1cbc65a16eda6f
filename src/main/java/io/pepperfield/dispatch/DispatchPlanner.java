package io.pepperfield.dispatch;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.BinPacker;
import io.pepperfield.placement.BinPacker.Placement;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.QuotaUsage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides one pass: from a view of the cluster and the requests to a plan, without any effect
 * besides the counts in the requests. Made anew for each pass.
 */
final class DispatchPlanner {

    private final ClusterView view;
    private final List<PlacementRequest> requests;
    private final Map<String, PlacementRequest> requestsByJob = new HashMap<>();
    private final List<DispatchPlan.Action> actions = new ArrayList<>();

    /** What the starts of the plan leave; preemptions free nothing here. */
    private final Map<String, QuotaUsage> quotaUsages;

    private final List<FreeCapacity> capacities;

    private DispatchPlanner(ClusterView view, List<PlacementRequest> requests) {
        this.view = view;
        this.requests = requests;
        this.quotaUsages = view.quotaUsages();
        this.capacities = view.machinesWithCapacity();
        requests.forEach(request -> requestsByJob.put(request.job().id(), request));
    }

    /** The plan for the requests, whose counts of waiting tasks are used up. */
    static DispatchPlan plan(ClusterView view, List<PlacementRequest> requests) {
        return new DispatchPlanner(view, requests).plan();
    }

    private DispatchPlan plan() {
        List<Placement> placements = placePending();
        if (mayPreemptForAny(placements)) {
            planPreemptions(placements);
        }
        return new DispatchPlan(actions, jobsWithReservations());
    }

    private List<Placement> placePending() {
        List<Placement> placements = BinPacker.place(requests, capacities, quotaUsages);
        for (Placement placement : placements) {
            actions.add(
                    new DispatchPlan.Start(
                            view.job(placement.jobId()), view.machine(placement.machineName())));
        }
        return placements;
    }

    private void planPreemptions(List<Placement> placements) {
        Map<String, QuotaUsage> quotaUsagesAfterStops = new HashMap<>();
        quotaUsages.forEach((team, usage) -> quotaUsagesAfterStops.put(team, usage.copy()));
        PostPreemptionState afterStops = new PostPreemptionState(view, quotaUsagesAfterStops);
        for (Placement placement : placements) {
            afterStops.allocateFromMachine(request(placement), placement.machineName());
        }
        cacheImages(placements);
        // To stop lower work on a machine that has the image beats a start on one that must fetch
        // it first.
        preempt(
                afterStops.selectVictims(
                        requests.stream()
                                .filter(PlacementRequest::imageLocalityRequired)
                                .toList()));
        requests.forEach(PlacementRequest::relaxImageLocality);
        // Starts go by what the teams use as long as the stopped is not gone, or their limits would
        // be passed meanwhile.
        for (Placement placement : placePending()) {
            afterStops.allocateFromMachine(request(placement), placement.machineName());
            afterStops.allocateFromQuota(request(placement));
        }
        preempt(afterStops.selectVictims(requests));
    }

    private PlacementRequest request(Placement placement) {
        return requestsByJob.get(placement.jobId());
    }

    /** A machine on which a job starts will have its image. */
    private void cacheImages(List<Placement> placements) {
        Map<String, FreeCapacity> capacitiesByMachine = new HashMap<>();
        capacities.forEach(capacity -> capacitiesByMachine.put(capacity.machineName(), capacity));
        for (Placement placement : placements) {
            capacitiesByMachine
                    .get(placement.machineName())
                    .addCachedImage(request(placement).job().image());
        }
    }

    private void preempt(List<Attempt> victims) {
        victims.forEach(victim -> actions.add(new DispatchPlan.Preempt(victim)));
    }

    private List<Job> jobsWithReservations() {
        return requests.stream()
                .filter(PlacementRequest::causedPreemption)
                .map(request -> view.job(request.job().id()))
                .toList();
    }

    /**
     * Whether any request may gain by preemption, or by a start without its image. When only the
     * lowest wait, as in a long overload, a look at every task of the fleet would find nothing to
     * stop.
     */
    private boolean mayPreemptForAny(List<Placement> placements) {
        JobSpec.Priority lowest = lowestPriorityAfter(placements);
        boolean guaranteeExceeded =
                quotaUsages.values().stream().anyMatch(QuotaUsage::exceedsGuarantee);
        return requests.stream()
                .anyMatch(
                        request ->
                                request.unschedulable() && request.imageLocalityRequired()
                                        || mayPreempt(request, lowest, guaranteeExceeded));
    }

    private JobSpec.Priority lowestPriorityAfter(List<Placement> placements) {
        JobSpec.Priority lowest = view.lowestLivePriority();
        for (Placement placement : placements) {
            JobSpec.Priority started = request(placement).job().priority();
            if (started.compareTo(lowest) > 0) {
                lowest = started;
            }
        }
        return lowest;
    }

    /**
     * Whether it waits for capacity, and either ranks above something that may be alive or has a
     * guarantee to claim from a team that exceeds its own.
     */
    private static boolean mayPreempt(
            PlacementRequest request, JobSpec.Priority lowest, boolean guaranteeExceeded) {
        if (request.crashLooping() || !request.unschedulable() && !blockedByQuota(request)) {
            return false;
        }
        return request.withinGuarantee() && guaranteeExceeded
                || request.job().priority().compareTo(lowest) < 0;
    }

    /**
     * Whether it waits although machines may have capacity, and ranks above something: its team's
     * limit may be taken up by lower work.
     */
    private static boolean blockedByQuota(PlacementRequest request) {
        return request.waitingTasks() > 0
                && !request.job().isGang()
                && request.job().priority().compareTo(JobSpec.Priority.STANDARD) < 0;
    }
}
