package io.pepperfield.dispatch;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.ZoneCounts;
import io.pepperfield.placement.BinPacker;
import io.pepperfield.placement.BinPacker.Placement;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.QuotaUsage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks whether the replicas of services on one machine could be placed on other machines. Changes
 * no cluster state.
 */
final class ReplicaRelocation {

    private final ClusterView view;
    private final Machine machine;
    private final Map<String, QuotaUsage> quotaUsages;
    private final Map<String, PlacementRequest> requestsByJob = new LinkedHashMap<>();

    /** Collects the replicas of a machine that is to be released. */
    ReplicaRelocation(ClusterView view, Machine machine) {
        this.view = view;
        this.machine = machine;
        this.quotaUsages = view.quotaUsages();
        releaseReplicas().forEach(this::addRequest);
    }

    /** Subtracts the replicas from their teams' quota usage and returns their count by job. */
    private Map<Job, Integer> releaseReplicas() {
        Map<Job, Integer> replicas = new LinkedHashMap<>();
        for (Attempt attempt : machine.attempts()) {
            Job job = attempt.job;
            if (attempt.live() && job.spec.isService() && job.finalStatus() == null) {
                replicas.merge(job, 1, Integer::sum);
                quotaUsages.get(job.spec.team()).release(job.spec, 1);
            }
        }
        return replicas;
    }

    private void addRequest(Job job, int replicas) {
        ZoneCounts tasksPerZone = view.liveTasksByZone(job);
        tasksPerZone.add(machine.zone(), -replicas);
        requestsByJob.put(
                job.spec.id(),
                PlacementRequest.builder(job.spec, replicas)
                        .withinGuarantee(true)
                        .readyAt(job.readyAt())
                        .tasksPerZone(tasksPerZone)
                        .build());
    }

    /** Returns whether all replicas can be placed, with preemption if necessary. */
    boolean isPossible() {
        List<PlacementRequest> requests = new ArrayList<>(requestsByJob.values());
        List<Placement> placements =
                BinPacker.place(requests, view.machinesWithCapacity(), quotaUsages);
        if (allPlaced(requests)) {
            return true;
        }
        PostPreemptionState postPreemption = new PostPreemptionState(view, quotaUsages);
        for (Placement placement : placements) {
            postPreemption.allocateFromMachine(
                    requestsByJob.get(placement.jobId()), placement.machineName());
        }
        postPreemption.selectVictims(requests);
        return allPlaced(requests);
    }

    private static boolean allPlaced(List<PlacementRequest> requests) {
        return requests.stream().allMatch(request -> request.pendingTasks() == 0);
    }
}
