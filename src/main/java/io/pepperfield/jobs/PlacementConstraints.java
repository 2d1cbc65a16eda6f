package io.pepperfield.jobs;

/**
 * Decides whether a task of a job may start on a machine, given the zones of the job's other tasks.
 * The only implementation of the protocol's rule {@code wrong_place}: planning uses it, and so does
 * the last step before a run order is sent. What is unknown counts as the worst case.
 */
public final class PlacementConstraints {

    /** The result of a check: allowed, or the constraint that is violated. */
    public enum Verdict {
        ALLOWED,
        MACHINE_UNKNOWN,
        TYPE_OR_ZONE_OR_SPOT,
        OTHER_ZONE_IN_USE,
        ZONE_FULL
    }

    private PlacementConstraints() {}

    /**
     * Checks a start.
     *
     * @param otherTasks the possibly live tasks of the job, without the one to start
     */
    public static Verdict check(JobSpec job, MachineAttributes machine, ZoneCounts otherTasks) {
        if (!machine.known()) {
            return Verdict.MACHINE_UNKNOWN;
        }
        if (!job.allowsMachine(machine.type(), machine.zone(), machine.spot())) {
            return Verdict.TYPE_OR_ZONE_OR_SPOT;
        }
        if (job.sameZone() && otherTasks.possiblyOutside(machine.zone()) > 0) {
            return Verdict.OTHER_ZONE_IN_USE;
        }
        return remainingIn(job, machine.zone(), otherTasks) > 0
                ? Verdict.ALLOWED
                : Verdict.ZONE_FULL;
    }

    /** Whether a start depends on where the job's other tasks run. */
    public static boolean dependsOnOtherTasks(JobSpec job) {
        return job.sameZone() || job.spreadOverZones();
    }

    /** Returns how many more tasks of the job may start in the zone under its spread rule. */
    public static int remainingIn(JobSpec job, String zone, ZoneCounts liveTasks) {
        return job.maxTasksPerZone() - liveTasks.possiblyIn(zone);
    }
}
