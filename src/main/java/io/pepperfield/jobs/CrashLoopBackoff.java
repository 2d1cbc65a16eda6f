package io.pepperfield.jobs;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/**
 * The failures of a job's tasks since one of them was last completed. A job that failed on several
 * machines and was completed on none since was submitted with a mistake, as far as anyone can tell:
 * it is crash looping. Such a job is probed one task at a time and after growing pauses, and
 * neither rents nor preempts anything until a task is completed.
 */
final class CrashLoopBackoff {

    /**
     * One machine on which tasks fail may be faulty; that two are, and nothing else is known of the
     * job, is less likely.
     */
    private static final int CRASH_LOOP_MACHINES = 2;

    private static final int MAX_FAILED_MACHINES = 8;

    /**
     * The last few machines on which a task failed, with the loop time until when to avoid them.
     */
    private final LinkedHashMap<String, Double> avoidedUntil = new LinkedHashMap<>();

    /** Tasks that stored records call failed, from before this leader. */
    private int earlierFailures;

    private double startNotBefore;

    /** Whether tasks have failed on several machines and none was completed since. */
    boolean isCrashLooping() {
        return avoidedUntil.size() + earlierFailures >= CRASH_LOOP_MACHINES;
    }

    /** Loop time in seconds before which no task is started; 0 where no pause is due. */
    double startNotBefore() {
        return startNotBefore;
    }

    /** The machines on which tasks failed. */
    Set<String> failedMachines() {
        return avoidedUntil.keySet();
    }

    /** The machines on which tasks failed of late. */
    Set<String> recentlyFailedMachines(double now) {
        Set<String> machines = new HashSet<>();
        avoidedUntil.forEach(
                (machine, until) -> {
                    if (until > now) {
                        machines.add(machine);
                    }
                });
        return machines;
    }

    /**
     * A task failed on that machine.
     *
     * @return whether the job is crash looping from now on, and was not before
     */
    boolean recordFailure(String machine, double now, double firstPauseS, double longestPauseS) {
        boolean before = isCrashLooping();
        avoidedUntil.remove(machine);
        avoidedUntil.put(machine, now + longestPauseS);
        if (avoidedUntil.size() > MAX_FAILED_MACHINES) {
            avoidedUntil.remove(avoidedUntil.keySet().iterator().next());
        }
        if (!isCrashLooping()) {
            return false;
        }
        int doublings = avoidedUntil.size() + earlierFailures - CRASH_LOOP_MACHINES;
        startNotBefore = now + Math.min(longestPauseS, firstPauseS * Math.pow(2, doublings));
        return !before;
    }

    /** A stored record says that a task failed in its latest attempt. */
    void restoreFailure() {
        earlierFailures = Math.min(MAX_FAILED_MACHINES, earlierFailures + 1);
    }

    /** A task was completed: the job was not submitted with a mistake. */
    void reset() {
        avoidedUntil.clear();
        earlierFailures = 0;
        startNotBefore = 0;
    }
}
