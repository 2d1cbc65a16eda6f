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
 * Computes the plan of one scheduling pass from a view of the cluster and the pending requests.
 * Modifies only the requests. A new instance is created for each pass.
 */
final class DispatchPlanner {

    private final ClusterView view;
    private final List<PlacementRequest> requests;
    private final Map<String, PlacementRequest> requestsByJob = new HashMap<>();
    private final List<DispatchPlan.Action> actions = new ArrayList<>();

    /** Usage including the planned starts; planned preemptions are not subtracted. */
    private final Map<String, QuotaUsage> quotaUsages;

    private final List<FreeCapacity> capacities;

    private DispatchPlanner(ClusterView view, List<PlacementRequest> requests) {
        this.view = view;
        this.requests = requests;
        this.quotaUsages = view.quotaUsages();
        this.capacities = view.machinesWithCapacity();
        requests.forEach(request -> requestsByJob.put(request.job().id(), request));
    }

    /** Returns the plan for the requests; decrements their counts of pending tasks. */
    static DispatchPlan plan(ClusterView view, List<PlacementRequest> requests) {
        return new DispatchPlanner(view, requests).plan();
    }

    private DispatchPlan plan() {
        List<Placement> placements = placePending();
        if (mayPreemptForAny(placements)) {
            planPreemptions(placements);
        }
        return new DispatchPlan(actions, preemptingJobs());
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
        Map<String, QuotaUsage> postPreemptionUsages = new HashMap<>();
        quotaUsages.forEach((team, usage) -> postPreemptionUsages.put(team, usage.copy()));
        PostPreemptionState postPreemption = new PostPreemptionState(view, postPreemptionUsages);
        for (Placement placement : placements) {
            postPreemption.allocateFromMachine(request(placement), placement.machineName());
        }
        cacheImages(placements);
        // Preempting lower-priority tasks on a machine that has the image is preferred to starting
        // on a machine that has to fetch it.
        preempt(
                postPreemption.selectVictims(
                        requests.stream()
                                .filter(PlacementRequest::imageLocalityRequired)
                                .toList()));
        requests.forEach(PlacementRequest::relaxImageLocality);
        // Starts are checked against usage that includes tasks being stopped. Otherwise teams would
        // exceed their limits until those tasks have terminated.
        for (Placement placement : placePending()) {
            postPreemption.allocateFromMachine(request(placement), placement.machineName());
            postPreemption.allocateFromQuota(request(placement));
        }
        preempt(postPreemption.selectVictims(requests));
    }

    private PlacementRequest request(Placement placement) {
        return requestsByJob.get(placement.jobId());
    }

    /** Records the images of placed jobs as cached on their machines. */
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

    private List<Job> preemptingJobs() {
        return requests.stream()
                .filter(PlacementRequest::causedPreemption)
                .map(request -> view.job(request.job().id()))
                .toList();
    }

    /**
     * Returns whether any request may benefit from preemption or from relaxed image locality.
     * During a long overload, when only requests of the lowest priority are pending, this avoids a
     * scan of all tasks of the fleet that would find no victim.
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
     * Returns whether the request is blocked and either has a higher priority than the lowest live
     * one, or is within its guarantee while another team exceeds its own.
     */
    private static boolean mayPreempt(
            PlacementRequest request, JobSpec.Priority lowest, boolean guaranteeExceeded) {
        if (request.crashLooping() || !request.unschedulable() && !mayBeBlockedByQuota(request)) {
            return false;
        }
        return request.withinGuarantee() && guaranteeExceeded
                || request.job().priority().compareTo(lowest) < 0;
    }

    /**
     * Returns whether the team's limit may block the request although machines have capacity. Only
     * for priorities above {@code STANDARD}: lower-priority tasks of the team may use up its limit.
     */
    private static boolean mayBeBlockedByQuota(PlacementRequest request) {
        return request.pendingTasks() > 0
                && !request.job().isGang()
                && request.job().priority().compareTo(JobSpec.Priority.STANDARD) < 0;
    }
}
