package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Map;
import java.util.Set;

/** A job with tasks that wait. */
public final class PlacementRequest {

    final JobSpec job;
    int waitingTasks;
    final boolean withinGuarantee;
    final double readyAt;

    /** Tasks of this job that may be alive, by zone. */
    final Map<String, Integer> tasksPerZone;

    /** Machines that are not to be used for this job now. */
    final Set<String> excludedMachines;

    /** Tasks of this job that may be alive. */
    final int liveTasks;

    /**
     * Only machines that have its image will do for now: to fetch it would take longer than its
     * class may wait.
     */
    boolean imageLocalityRequired;

    /**
     * Nothing of it has begun for so long that it comes first: what is smaller or ranks higher
     * cannot hold it back for ever.
     */
    boolean overdue;

    /** Others are being stopped for it: the room that this frees is its own. */
    boolean reserved;

    boolean causedPreemption;

    /** Of a job that has only failed so far: nothing is stopped for it. */
    private boolean probe;

    boolean unschedulable;

    /** How long it has waited for each CPU that it still waits for. */
    double waitPerCpu;

    /**
     * Creates a request for places for {@code waiting} tasks; {@code submittedAt} is a loop time.
     */
    public PlacementRequest(
            JobSpec job,
            int waiting,
            boolean guaranteed,
            double submittedAt,
            Map<String, Integer> perZone,
            Set<String> avoid) {
        this.job = job;
        this.waitingTasks = waiting;
        this.withinGuarantee = guaranteed;
        this.readyAt = submittedAt;
        this.tasksPerZone = perZone;
        this.excludedMachines = avoid;
        this.liveTasks = perZone.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Sets whether it has waited so long that it comes first. */
    public void overdue(boolean late) {
        overdue = late;
    }

    /**
     * Within a team's queue what has waited longest for its size goes first: where more is asked
     * than can be done, whole jobs are done in time instead of parts of all of them, and a large
     * one's turn comes all the same.
     */
    public void waitingTime(double seconds) {
        waitPerCpu = job.isService() ? 0 : seconds / (waitingTasks * job.cpus());
    }

    /** Adds machines that are not to be used for this job now. */
    public void excludedMachines(Set<String> machines) {
        excludedMachines.addAll(machines);
    }

    /** Sets whether its job has only failed so far. */
    public void probe(boolean suspect) {
        probe = suspect;
    }

    /** Whether its job has only failed so far, so that nothing is stopped for it. */
    public boolean probe() {
        return probe;
    }

    /** Sets whether other tasks are being stopped to make room for it. */
    public void reserved(boolean room) {
        reserved = room;
    }

    /** Whether something was chosen to be stopped for it. */
    public boolean causedPreemption() {
        return causedPreemption;
    }

    /** The job whose tasks wait. */
    public JobSpec job() {
        return job;
    }

    /** Whether only machines with its image in their cache will do. */
    public boolean imageLocalityRequired() {
        return imageLocalityRequired;
    }

    /**
     * Sets whether only machines with its image will do; what was stuck by that is looked at again.
     */
    public void imageLocalityRequired(boolean only) {
        if (imageLocalityRequired && !only) {
            unschedulable = false;
        }
        imageLocalityRequired = only;
    }

    /** Tasks still without a place. */
    public int waitingTasks() {
        return waitingTasks;
    }

    /** Whether its team is within its guarantee. */
    public boolean withinGuarantee() {
        return withinGuarantee;
    }

    /**
     * No machine had room for it; where tasks wait and this is false, its team's limit holds them
     * up.
     */
    public boolean unschedulable() {
        return unschedulable;
    }
}
