package io.pepperfield.placement;

import io.pepperfield.jobs.PlacementConstraints;
import io.pepperfield.jobs.PlacementConstraints.Verdict;

/** Filters and ranks machines for one task of a request. */
public final class MachineFit {

    /** Absorbs floating-point errors in sums, which could otherwise reject the last task. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private MachineFit() {}

    /** Returns whether the machine can take a task now. */
    static boolean fits(PlacementRequest request, FreeCapacity capacity) {
        return hasResources(request, capacity.freeCpus, capacity.freeGpus, capacity.freeMemGb)
                && isAllowed(request, capacity);
    }

    /**
     * Returns whether the machine can take a task once its batch tasks have ended: the capacity not
     * used by replicas of services suffices, and the request may use the machine.
     */
    public static boolean canEverFit(PlacementRequest request, FreeCapacity capacity) {
        Capacity eventual = capacity.eventualCapacity;
        return hasResources(request, eventual.cpus(), eventual.gpus(), eventual.memGb())
                && isAllowed(request, capacity);
    }

    /** Returns whether the given resources suffice for a task. */
    static boolean hasResources(PlacementRequest request, double cpus, double gpus, double memGb) {
        return hasCpus(request, cpus)
                && memGb + ROUNDING_TOLERANCE >= request.job.memGb()
                && gpus + ROUNDING_TOLERANCE >= request.job.gpus();
    }

    /** Returns whether the given CPUs suffice for a task. */
    static boolean hasCpus(PlacementRequest request, double cpus) {
        return cpus + ROUNDING_TOLERANCE >= request.job.cpus();
    }

    /** Returns whether the request may use the machine, regardless of free capacity. */
    static boolean isAllowed(PlacementRequest request, FreeCapacity capacity) {
        return meetsConstraints(request, capacity)
                && !request.excludedMachines.contains(capacity.machineName);
    }

    private static boolean meetsConstraints(PlacementRequest request, FreeCapacity capacity) {
        if (request.imageLocalityRequired && !capacity.hasImage(request.job.image())) {
            return false;
        }
        return PlacementConstraints.check(request.job, capacity.attributes, request.tasksPerZone)
                == Verdict.ALLOWED;
    }

    /** Returns whether the first of two fitting machines ranks higher for a task. */
    static boolean isBetter(PlacementRequest request, FreeCapacity first, FreeCapacity second) {
        boolean failedOnFirst = request.failedMachines.contains(first.machineName);
        if (failedOnFirst != request.failedMachines.contains(second.machineName)) {
            return !failedOnFirst;
        }
        boolean firstHasImage = first.hasImage(request.job.image());
        if (firstHasImage != second.hasImage(request.job.image())) {
            return firstHasImage;
        }
        if (first.attributes.spot() != second.attributes.spot()) {
            // Spot machines cost less, and using them leaves on-demand capacity to other jobs.
            return first.attributes.spot();
        }
        if (request.job.spreadOverZones()) {
            int tasksInFirstZone = request.tasksPerZone.knownIn(first.attributes.zone());
            int tasksInSecondZone = request.tasksPerZone.knownIn(second.attributes.zone());
            if (tasksInFirstZone != tasksInSecondZone) {
                return tasksInFirstZone < tasksInSecondZone;
            }
        }
        // Prefers the fullest machine, so that the emptiest can be released.
        return first.freeCpus != second.freeCpus
                ? first.freeCpus < second.freeCpus
                : first.machineName.compareTo(second.machineName) < 0;
    }
}
