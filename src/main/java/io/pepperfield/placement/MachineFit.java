package io.pepperfield.placement;

import java.util.Map;

/** Whether a machine has what one task of a request needs, and which of two suits it better. */
public final class MachineFit {

    /** Rounding in sums of decimal figures must not cost the last task. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private MachineFit() {}

    /** Whether the machine may take a task now. */
    static boolean fits(PlacementRequest request, FreeCapacity capacity) {
        return hasResources(request, capacity.freeCpus, capacity.freeGpus, capacity.freeMemGb)
                && isAllowed(request, capacity);
    }

    /**
     * Whether the machine may come to have capacity for a task: it is neither too small beside its
     * replicas nor excluded.
     */
    public static boolean canEverFit(PlacementRequest request, FreeCapacity capacity) {
        Capacity eventual = capacity.eventualCapacity;
        return hasResources(request, eventual.cpus(), eventual.gpus(), eventual.memGb())
                && isAllowed(request, capacity);
    }

    /** Whether so much is enough for a task. */
    static boolean hasResources(PlacementRequest request, double cpus, double gpus, double memGb) {
        return hasCpus(request, cpus)
                && memGb + ROUNDING_TOLERANCE >= request.job.memGb()
                && gpus + ROUNDING_TOLERANCE >= request.job.gpus();
    }

    /** Whether so many CPUs are enough for a task. */
    static boolean hasCpus(PlacementRequest request, double cpus) {
        return cpus + ROUNDING_TOLERANCE >= request.job.cpus();
    }

    /** Whether the machine may take a task, however full it is. */
    static boolean isAllowed(PlacementRequest request, FreeCapacity capacity) {
        return meetsConstraints(request, capacity)
                && !request.excludedMachines.contains(capacity.machineName);
    }

    /**
     * Type, zone, spot and image, with regard to where the job's other tasks may be alive at this
     * moment.
     */
    private static boolean meetsConstraints(PlacementRequest request, FreeCapacity capacity) {
        if (!request.job.allowsMachine(capacity.machineType, capacity.zone, capacity.spot)) {
            return false;
        }
        if (request.imageLocalityRequired && !capacity.hasImage(request.job.image())) {
            return false;
        }
        if (request.job.sameZone() && hasTasksOutside(request, capacity.zone)) {
            return false;
        }
        return tasksIn(request, capacity.zone) < request.job.maxTasksPerZone();
    }

    private static boolean hasTasksOutside(PlacementRequest request, String zone) {
        for (Map.Entry<String, Integer> tasks : request.tasksPerZone.entrySet()) {
            if (tasks.getValue() > 0 && !tasks.getKey().equals(zone)) {
                return true;
            }
        }
        return false;
    }

    private static int tasksIn(PlacementRequest request, String zone) {
        return request.tasksPerZone.getOrDefault(zone, 0);
    }

    /** Whether the first machine suits a task better than the second; both fit. */
    static boolean isBetter(PlacementRequest request, FreeCapacity first, FreeCapacity second) {
        boolean firstHasImage = first.hasImage(request.job.image());
        if (firstHasImage != second.hasImage(request.job.image())) {
            return firstHasImage;
        }
        if (first.spot != second.spot) {
            // Spot machines cost less and take nothing else away; where the job allows both they
            // come first.
            return first.spot;
        }
        if (request.job.spreadOverZones()) {
            int tasksBesideFirst = tasksIn(request, first.zone);
            int tasksBesideSecond = tasksIn(request, second.zone);
            if (tasksBesideFirst != tasksBesideSecond) {
                return tasksBesideFirst < tasksBesideSecond;
            }
        }
        // The fullest first, so that the emptiest can be returned.
        return first.freeCpus != second.freeCpus
                ? first.freeCpus < second.freeCpus
                : first.machineName.compareTo(second.machineName) < 0;
    }
}
