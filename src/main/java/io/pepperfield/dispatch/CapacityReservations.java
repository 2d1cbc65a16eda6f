package io.pepperfield.dispatch;

import io.pepperfield.jobs.Job;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Capacity that tasks are being stopped to free: for which jobs, and on which machines. The tasks
 * of one machine end one after the other; a swarm of small ones of the lowest priority would take
 * each piece as it comes free, only to be stopped next, again and again. Confined to the event
 * loop.
 */
final class CapacityReservations {

    /** Loop time in seconds until which each job goes before others of its team. */
    private final Map<Job, Double> jobsUntil = new HashMap<>();

    /** Loop time in seconds until which each machine is kept from the lowest priority. */
    private final Map<String, Double> machinesUntil = new HashMap<>();

    /** Tasks are being stopped for the job; the job goes first until then. */
    void reserveForJob(Job job, double until) {
        jobsUntil.merge(job, until, Math::max);
    }

    /** A task is being stopped on the machine; its capacity is reserved until then. */
    void reserveMachine(String machineName, double until) {
        machinesUntil.merge(machineName, until, Math::max);
    }

    /** Drops the reservations that have ended. */
    void removeExpired(double now) {
        jobsUntil.values().removeIf(until -> until < now);
        machinesUntil.values().removeIf(until -> until < now);
    }

    /** Whether other tasks are being stopped for the job. */
    boolean hasReservation(Job job) {
        return jobsUntil.containsKey(job);
    }

    /** The machines that jobs of the lowest priority must leave alone, as a view. */
    Set<String> reservedMachines() {
        return machinesUntil.keySet();
    }
}
