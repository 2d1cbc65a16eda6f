package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Cache of task sizes that found no machine in a pass. Free capacity only shrinks while tasks are
 * placed, so a request with the same constraints and the same or larger size finds no machine
 * either. With many pending jobs, the fleet is scanned once per set of constraints, not per job.
 */
final class UnschedulableDemand {

    /** Machine constraints that do not depend on the job's other tasks. */
    private record MachineConstraints(List<String> types, String zone, boolean spot, String image) {
        static MachineConstraints of(PlacementRequest request) {
            JobSpec job = request.job;
            String requiredImage = request.imageLocalityRequired ? job.image() : "";
            return new MachineConstraints(
                    job.machineTypes(), job.zone(), job.spotAllowed(), requiredImage);
        }
    }

    /** The resources that one task needs. */
    private record TaskSize(double cpus, double gpus, double memGb) {
        static TaskSize of(JobSpec job) {
            return new TaskSize(job.cpus(), job.gpus(), job.memGb());
        }

        boolean fitsWithin(TaskSize other) {
            return cpus <= other.cpus && gpus <= other.gpus && memGb <= other.memGb;
        }
    }

    /** The minimal unschedulable sizes by constraints; none fits within another. */
    private final Map<MachineConstraints, List<TaskSize>> minimalSizes = new HashMap<>();

    /** Returns whether an earlier unschedulable request implies that this one is too. */
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

    /** Records that no machine allowed by the constraints has capacity for the request. */
    void add(PlacementRequest request) {
        JobSpec job = request.job;
        if (job.sameZone() || job.spreadOverZones() || !request.excludedMachines.isEmpty()) {
            // Zone rules and excluded machines are not part of the key: the result does not apply
            // to other requests.
            return;
        }
        TaskSize size = TaskSize.of(job);
        List<TaskSize> sizes =
                minimalSizes.computeIfAbsent(
                        MachineConstraints.of(request), constraints -> new ArrayList<>());
        sizes.removeIf(size::fitsWithin);
        sizes.add(size);
    }

    /** Clears the cache, as capacity was returned. */
    void clear() {
        minimalSizes.clear();
    }
}
