package io.pepperfield.jobs;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/**
 * Tracks the failures of a job's tasks since the last task completed. A job whose tasks failed on
 * several machines without any task completing in between was probably submitted with an error: it
 * is crash looping. Such a job is retried one task at a time with exponential backoff, causes
 * rentals for that task alone, and does not preempt other jobs until a task completes.
 */
final class CrashLoopBackoff {

    /**
     * Number of machines with failures from which the job counts as crash looping. A single machine
     * may be faulty; two faulty machines are less likely than a faulty job.
     */
    private static final int CRASH_LOOP_MACHINES = 2;

    private static final int MAX_FAILED_MACHINES = 8;

    /**
     * Delay of a replacement after the first failed machine, as a fraction of the longest backoff.
     */
    private static final double FIRST_REPLACEMENT_DELAY = 1.0 / 3;

    /** Factor by which each further failed machine delays the replacement of them all. */
    private static final double REPLACEMENT_DELAY_FACTOR = 3;

    /** Longest delay of a replacement, as a multiple of the longest backoff. */
    private static final double MAX_REPLACEMENT_DELAY = 27;

    /**
     * The most recent machines on which a task failed, with the loop time until which to avoid
     * each.
     */
    private final LinkedHashMap<String, Double> avoidedUntil = new LinkedHashMap<>();

    /**
     * Number of tasks that failed under an earlier leader, according to the stored records. These
     * do not name the machines, so each task counts as a machine of its own.
     */
    private int restoredFailures;

    /** Number of probes that failed, a probe being a task that was started after the backoff. */
    private int failedProbes;

    private double startNotBefore;

    /** Loop time in seconds from which the failed machines do not count as capacity. */
    private double replaceNotBefore;

    /** Whether tasks have failed on several machines and none has completed since. */
    boolean isCrashLooping() {
        return failedMachineCount() >= CRASH_LOOP_MACHINES;
    }

    private int failedMachineCount() {
        return avoidedUntil.size() + restoredFailures;
    }

    /** Loop time in seconds before which no task is started; 0 if no backoff applies. */
    double startNotBefore() {
        return startNotBefore;
    }

    /** The most recent machines on which tasks failed since a task last completed. */
    Set<String> failedMachines() {
        return avoidedUntil.keySet();
    }

    /**
     * The failed machines that do not count as capacity for the job, so that others are rented.
     * These are none for a time that grows with each machine on which the job fails: a job that is
     * itself faulty must not have one machine after the other rented for it.
     */
    Set<String> machinesToReplace(double now) {
        return now >= replaceNotBefore ? failedMachines() : Set.of();
    }

    /** The machines on which tasks failed recently enough that they are still avoided. */
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
     * Records that a task failed on the machine.
     *
     * @return whether this failure made the job crash looping
     */
    boolean recordFailure(String machine, double now, double initialBackoffS, double maxBackoffS) {
        boolean wasCrashLooping = isCrashLooping();
        boolean firstFailureThere = avoidedUntil.remove(machine) == null;
        avoidedUntil.put(machine, now + maxBackoffS);
        if (avoidedUntil.size() > MAX_FAILED_MACHINES) {
            avoidedUntil.remove(avoidedUntil.keySet().iterator().next());
        }
        if (firstFailureThere) {
            replaceNotBefore = now + maxBackoffS * replacementDelay();
        }
        if (!isCrashLooping()) {
            return false;
        }
        // During the backoff only tasks fail that were started before it.
        failedProbes += wasCrashLooping && now >= startNotBefore ? 1 : 0;
        int doublings = Math.max(failedProbes, avoidedUntil.size() - CRASH_LOOP_MACHINES);
        startNotBefore = now + Math.min(maxBackoffS, initialBackoffS * Math.pow(2, doublings));
        return !wasCrashLooping;
    }

    private double replacementDelay() {
        double growth = Math.pow(REPLACEMENT_DELAY_FACTOR, avoidedUntil.size() - 1);
        return Math.min(MAX_REPLACEMENT_DELAY, FIRST_REPLACEMENT_DELAY * growth);
    }

    /** Records a task whose latest attempt failed according to a stored record. */
    void restoreFailure() {
        restoredFailures = Math.min(MAX_FAILED_MACHINES, restoredFailures + 1);
    }

    /** Clears all failures, because a task completed: the job itself is not faulty. */
    void reset() {
        avoidedUntil.clear();
        restoredFailures = 0;
        failedProbes = 0;
        startNotBefore = 0;
        replaceNotBefore = 0;
    }
}
