package io.pepperfield.capacity;

import io.pepperfield.capacity.MachineCountEstimator.UpcomingTasks;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.PlacementConstraints;
import io.pepperfield.jobs.ZoneCounts;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Waiting tasks of a job that may not run on every machine of its pools: they may run in one zone
 * only, or the job failed on some machines.
 *
 * @param zone the only zone, or null if the tasks may run in several zones, or are those of a gang
 *     whose single zone has not been chosen yet
 * @param remainingS predicted run time of each task in seconds
 * @param failedMachines names of machines that do not count as capacity for the job
 */
public record RestrictedWork(
        JobSpec job, String zone, double remainingS, int taskCount, Set<String> failedMachines) {

    /**
     * Returns the restricted part of a job's waiting tasks: those that may run in one zone only,
     * because of the job's constraints or the zones of its live tasks, or all of them if the job
     * failed on some machines. Empty while several zones are possible, as for replicas of which the
     * first half is not placed yet, and no machine failed.
     *
     * @param remainingS predicted run time of each task in seconds
     * @param liveByZone number of the job's possibly live tasks, by zone
     * @param zones zones with offers of machines that the job allows
     * @param failedMachines names of machines that do not count as capacity for the job
     */
    public static Optional<RestrictedWork> of(
            JobSpec job,
            double remainingS,
            int waiting,
            ZoneCounts liveByZone,
            Set<String> zones,
            Set<String> failedMachines) {
        RestrictedWork inAnyZone =
                new RestrictedWork(job, null, remainingS, waiting, failedMachines);
        Optional<RestrictedWork> inOneZone = inAnyZone.boundToOneZone(liveByZone, zones);
        return inOneZone.isPresent() || failedMachines.isEmpty()
                ? inOneZone
                : Optional.of(inAnyZone);
    }

    private Optional<RestrictedWork> boundToOneZone(ZoneCounts liveByZone, Set<String> zones) {
        if (job.zone() != null) {
            return Optional.of(inZone(job.zone(), taskCount));
        }
        if (job.sameZone()) {
            return inZoneOfLiveTasks(liveByZone);
        }
        return job.spreadOverZones() ? inLastOpenZone(liveByZone, zones) : Optional.empty();
    }

    private RestrictedWork inZone(String onlyZone, int tasks) {
        return new RestrictedWork(job, onlyZone, remainingS, tasks, failedMachines);
    }

    private Optional<RestrictedWork> inZoneOfLiveTasks(ZoneCounts liveByZone) {
        if (job.isGang() && liveByZone.total() == 0) {
            return Optional.of(this);
        }
        // No offer has an unknown zone, so nothing is rented until the zone of the tasks is known.
        return liveByZone.total() == 0
                ? Optional.empty()
                : Optional.of(inZone(liveByZone.firstKnownZone(), taskCount));
    }

    /** Returns the spread replicas if only one zone may take more of them. */
    private Optional<RestrictedWork> inLastOpenZone(ZoneCounts liveByZone, Set<String> zones) {
        List<String> openZones =
                zones.stream()
                        .filter(open -> PlacementConstraints.remainingIn(job, open, liveByZone) > 0)
                        .toList();
        if (openZones.size() != 1 || zones.size() == 1) {
            return Optional.empty();
        }
        String lastZone = openZones.get(0);
        int allowed = PlacementConstraints.remainingIn(job, lastZone, liveByZone);
        return Optional.of(inZone(lastZone, Math.min(taskCount, allowed)));
    }

    /** Whether the tasks may run in one zone only, also if it is not chosen yet. */
    boolean isBoundToOneZone() {
        return zone != null || job.isGang() && job.sameZone();
    }

    /**
     * Returns how many tasks run in sequence in one slot within a billing unit; the tasks of a gang
     * run concurrently.
     */
    int tasksPerSlot(double billingUnitS) {
        if (job.isGang() || remainingS >= billingUnitS) {
            return 1;
        }
        return remainingS > 0 ? (int) (billingUnitS / remainingS) : taskCount;
    }

    /** Returns the given number of the tasks as a load for machines of which each uses a share. */
    UpcomingTasks toUpcomingTasks(double machineShare, int tasks, double billingUnitS) {
        return new UpcomingTasks(
                job.isGang() ? Math.max(remainingS, billingUnitS) : remainingS,
                Math.min(1, machineShare),
                tasks);
    }
}
