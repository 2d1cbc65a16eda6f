package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.ZoneCounts;
import java.util.Set;

/**
 * The pending tasks of one job in one scheduling pass. The description of the job is immutable; the
 * pass decrements {@link #pendingTasks()} and records its results, such as {@link
 * #unschedulable()}. Confined to the event loop.
 */
public final class PlacementRequest {

    final JobSpec job;
    final boolean withinGuarantee;

    /** Loop time in seconds at which the job became ready to start. */
    final double readyAt;

    /** Names of machines that must not be used for this job in this pass. */
    final Set<String> excludedMachines;

    /** Possibly live tasks of this job at the start of the pass. */
    final int liveTasks;

    /**
     * Whether the job has waited so long for its first task that it precedes all other requests:
     * neither smaller jobs nor those of higher priority can starve it.
     */
    final boolean overdue;

    /** Whether other tasks are being stopped for the job; the freed capacity is reserved for it. */
    final boolean hasReservation;

    /** Whether the job is crash looping; no other task is preempted for it. */
    final boolean crashLooping;

    /** Names of machines on which the job failed; used only if no other machine fits. */
    final Set<String> failedMachines;

    /** Seconds waited, divided by the CPUs of the pending tasks; 0 for services. */
    final double waitPerCpu;

    /** Possibly live tasks of this job by zone; incremented as the pass places tasks. */
    final ZoneCounts tasksPerZone;

    /** Tasks without a machine; decremented as the pass places tasks. */
    int pendingTasks;

    /**
     * Whether only machines with the job's image in their cache are eligible, because fetching it
     * would take too long for the wait objective of the job's workload.
     */
    boolean imageLocalityRequired;

    /** Whether no machine had capacity for the request. */
    boolean unschedulable;

    /** Whether at least one task was selected to be preempted for the request. */
    boolean causedPreemption;

    private PlacementRequest(Builder builder) {
        this.job = builder.job;
        this.withinGuarantee = builder.withinGuarantee;
        this.readyAt = builder.readyAt;
        this.excludedMachines = builder.excludedMachines;
        this.liveTasks = builder.tasksPerZone.total();
        this.overdue = builder.overdue;
        this.hasReservation = builder.hasReservation;
        this.crashLooping = builder.crashLooping;
        this.failedMachines = builder.failedMachines;
        this.waitPerCpu =
                job.isService() ? 0 : builder.waitedS / (builder.pendingTasks * job.cpus());
        this.tasksPerZone = builder.tasksPerZone;
        this.pendingTasks = builder.pendingTasks;
        this.imageLocalityRequired = builder.imageLocalityRequired;
    }

    /** Returns a builder of a request that has {@code pendingTasks} pending tasks. */
    public static Builder builder(JobSpec job, int pendingTasks) {
        return new Builder(job, pendingTasks);
    }

    /** Builds a request; flags default to false and collections to empty. */
    public static final class Builder {
        private final JobSpec job;
        private final int pendingTasks;
        private boolean withinGuarantee;
        private double readyAt;
        private ZoneCounts tasksPerZone = new ZoneCounts();
        private Set<String> excludedMachines = Set.of();
        private boolean imageLocalityRequired;
        private boolean overdue;
        private boolean hasReservation;
        private boolean crashLooping;
        private Set<String> failedMachines = Set.of();
        private double waitedS;

        private Builder(JobSpec job, int pendingTasks) {
            this.job = job;
            this.pendingTasks = pendingTasks;
        }

        /** Sets whether the job's team stays within its guarantee with this job. */
        public Builder withinGuarantee(boolean within) {
            withinGuarantee = within;
            return this;
        }

        /** Sets the loop time in seconds at which the job became ready to start. */
        public Builder readyAt(double time) {
            readyAt = time;
            return this;
        }

        /** Sets the job's possibly live tasks by zone; the pass adds its placements to them. */
        public Builder tasksPerZone(ZoneCounts tasks) {
            tasksPerZone = tasks;
            return this;
        }

        /** Sets the names of machines that must not be used for the job in this pass. */
        public Builder excludedMachines(Set<String> machines) {
            excludedMachines = machines;
            return this;
        }

        /** Sets the names of machines on which the job failed; other machines are preferred. */
        public Builder failedMachines(Set<String> machines) {
            failedMachines = machines;
            return this;
        }

        /** Sets whether only machines with the job's image in their cache are eligible. */
        public Builder imageLocalityRequired(boolean required) {
            imageLocalityRequired = required;
            return this;
        }

        /** Sets whether the job has waited so long that it precedes all others. */
        public Builder overdue(boolean overdueJob) {
            overdue = overdueJob;
            return this;
        }

        /** Sets whether other tasks are being stopped to free capacity for the job. */
        public Builder hasReservation(boolean reservation) {
            hasReservation = reservation;
            return this;
        }

        /** Sets whether the job is crash looping, so that no other task is preempted for it. */
        public Builder crashLooping(boolean looping) {
            crashLooping = looping;
            return this;
        }

        /**
         * Sets the seconds that the job has waited. At equal priority, a team's queue serves the
         * job with the longest wait per pending CPU first. Under overload, whole jobs then finish
         * in time rather than parts of all jobs, and large jobs do not starve.
         */
        public Builder waitedS(double seconds) {
            waitedS = seconds;
            return this;
        }

        /** Creates the request; requests of the same builder share its counts and sets. */
        public PlacementRequest build() {
            return new PlacementRequest(this);
        }
    }

    /** Returns the job of the pending tasks, with its effective priority. */
    public JobSpec job() {
        return job;
    }

    /** Returns the number of tasks that have no machine yet. */
    public int pendingTasks() {
        return pendingTasks;
    }

    /** Returns whether the job's team stays within its guarantee with this job. */
    public boolean withinGuarantee() {
        return withinGuarantee;
    }

    /** Returns whether the job is crash looping, so that no other task is preempted for it. */
    public boolean crashLooping() {
        return crashLooping;
    }

    /** Returns whether only machines with the job's image in their cache are eligible. */
    public boolean imageLocalityRequired() {
        return imageLocalityRequired;
    }

    /**
     * Makes machines without the job's image eligible; a request that was unschedulable under the
     * requirement is tried again.
     */
    public void relaxImageLocality() {
        if (imageLocalityRequired) {
            unschedulable = false;
        }
        imageLocalityRequired = false;
    }

    /**
     * Returns whether no machine had capacity for the request. If this is false while tasks are
     * pending, the team's limit blocks them.
     */
    public boolean unschedulable() {
        return unschedulable;
    }

    /** Returns whether at least one task was selected to be preempted for the request. */
    public boolean causedPreemption() {
        return causedPreemption;
    }
}
