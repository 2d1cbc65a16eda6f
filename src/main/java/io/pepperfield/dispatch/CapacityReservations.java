package io.pepperfield.dispatch;

import io.pepperfield.jobs.Job;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Reservations of capacity that is being freed by preemption, by job and by machine. Preempted
 * tasks on a machine end one after the other. Without reservations, small tasks of the lowest
 * priority would take the capacity as it is freed and be preempted in turn, repeatedly. Confined to
 * the event loop.
 */
final class CapacityReservations {

    /** Loop time in seconds until which each job precedes jobs without a reservation. */
    private final Map<Job, Double> jobExpirations = new HashMap<>();

    /** Loop time in seconds until which each machine excludes jobs of the lowest priority. */
    private final Map<String, Double> machineExpirations = new HashMap<>();

    /** Gives precedence to a job for which tasks are being preempted. */
    void reserveForJob(Job job, double expiresAt) {
        jobExpirations.merge(job, expiresAt, Math::max);
    }

    /** Reserves the capacity of a machine on which a task is being preempted. */
    void reserveMachine(String machineName, double expiresAt) {
        machineExpirations.merge(machineName, expiresAt, Math::max);
    }

    /** Removes expired reservations. */
    void removeExpired(double now) {
        jobExpirations.values().removeIf(expiresAt -> expiresAt < now);
        machineExpirations.values().removeIf(expiresAt -> expiresAt < now);
    }

    /** Returns whether capacity is being freed for the job by preemption. */
    boolean hasReservation(Job job) {
        return jobExpirations.containsKey(job);
    }

    /** Returns a view of the names of machines that exclude jobs of the lowest priority. */
    Set<String> reservedMachines() {
        return machineExpirations.keySet();
    }
}
