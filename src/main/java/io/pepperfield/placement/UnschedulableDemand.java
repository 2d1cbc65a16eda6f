package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What has found no machine in a pass. Capacities only shrink while tasks are placed, so nothing
 * that needs as much or more of the same machines can find one either; a swarm of waiting jobs then
 * costs a look at the whole fleet for each set of constraints and not for each job.
 */
final class UnschedulableDemand {

    /** Which machines come into question, where the job's other tasks have no say in it. */
    private record MachineConstraints(List<String> types, String zone, boolean spot, String image) {
        static MachineConstraints of(PlacementRequest request) {
            JobSpec job = request.job;
            String requiredImage = request.imageLocalityRequired ? job.image() : "";
            return new MachineConstraints(
                    job.machineTypes(), job.zone(), job.spotAllowed(), requiredImage);
        }
    }

    /** What a task takes of its machine. */
    private record TaskSize(double cpus, double gpus, double memGb) {
        static TaskSize of(JobSpec job) {
            return new TaskSize(job.cpus(), job.gpus(), job.memGb());
        }

        boolean fitsWithin(TaskSize other) {
            return cpus <= other.cpus && gpus <= other.gpus && memGb <= other.memGb;
        }
    }

    /** For each set of constraints the smallest sizes, none of which fits within another. */
    private final Map<MachineConstraints, List<TaskSize>> minimalSizes = new HashMap<>();

    /** Whether the request cannot find a machine, by what has found none before. */
    boolean covers(PlacementRequest request) {
        TaskSize size = TaskSize.of(request.job);
        for (TaskSize unschedulable :
                minimalSizes.getOrDefault(MachineConstraints.of(request), List.of())) {
            if (unschedulable.fitsWithin(size)) {
                return true;
            }
        }
        return false;
    }

    /** The request has found no machine among all that its constraints allow. */
    void add(PlacementRequest request) {
        JobSpec job = request.job;
        if (job.sameZone() || job.spreadOverZones() || !request.excludedMachines.isEmpty()) {
            // Zones or excluded machines make it a case of its own, which says nothing of others.
            return;
        }
        TaskSize size = TaskSize.of(job);
        List<TaskSize> sizes =
                minimalSizes.computeIfAbsent(
                        MachineConstraints.of(request), constraints -> new ArrayList<>());
        sizes.removeIf(size::fitsWithin);
        sizes.add(size);
    }

    /** Capacity has been given back. */
    void clear() {
        minimalSizes.clear();
    }
}
