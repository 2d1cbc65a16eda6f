package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Map;
import java.util.Set;

/**
 * The pending tasks of one job, as one pass places them. What describes the job is fixed; the pass
 * counts down {@link #waitingTasks()} and notes what it could not do. Confined to the event loop.
 */
public final class PlacementRequest {

    final JobSpec job;
    final boolean withinGuarantee;

    /** Loop time in seconds at which the job's tasks could first be started. */
    final double readyAt;

    /** Machines that are not to be used for this job now. */
    final Set<String> excludedMachines;

    /** Tasks of this job that may be alive when the pass begins. */
    final int liveTasks;

    /**
     * None of its tasks has begun for so long that it goes first: neither smaller nor higher jobs
     * can starve it.
     */
    final boolean overdue;

    /** Other tasks are being stopped for it: the capacity that this frees is reserved for it. */
    final boolean hasReservation;

    /** The job has only failed so far: nothing is stopped for it. */
    final boolean crashLooping;

    /** Seconds that it has waited for each CPU that it still waits for; 0 for services. */
    final double waitPerCpu;

    /** Tasks of this job that may be alive, by zone; counted up as the pass places tasks. */
    final Map<String, Integer> tasksPerZone;

    /** Tasks without a machine; counted down as the pass places tasks. */
    int waitingTasks;

    /**
     * Only machines that have its image will do for now: to fetch it would take longer than its
     * class may wait.
     */
    boolean imageLocalityRequired;

    /** No machine had capacity for it. */
    boolean unschedulable;

    /** At least one task was chosen to be stopped for it. */
    boolean causedPreemption;

    private PlacementRequest(Builder builder) {
        this.job = builder.job;
        this.withinGuarantee = builder.withinGuarantee;
        this.readyAt = builder.readyAt;
        this.excludedMachines = builder.excludedMachines;
        this.liveTasks = builder.tasksPerZone.values().stream().mapToInt(Integer::intValue).sum();
        this.overdue = builder.overdue;
        this.hasReservation = builder.hasReservation;
        this.crashLooping = builder.crashLooping;
        this.waitPerCpu =
                job.isService() ? 0 : builder.waitedS / (builder.waitingTasks * job.cpus());
        this.tasksPerZone = builder.tasksPerZone;
        this.waitingTasks = builder.waitingTasks;
        this.imageLocalityRequired = builder.imageLocalityRequired;
    }

    /** Starts the description of a request for {@code waitingTasks} machines. */
    public static Builder builder(JobSpec job, int waitingTasks) {
        return new Builder(job, waitingTasks);
    }

    /** What a request says of its job; whatever is not set does not hold. */
    public static final class Builder {
        private final JobSpec job;
        private final int waitingTasks;
        private boolean withinGuarantee;
        private double readyAt;
        private Map<String, Integer> tasksPerZone = Map.of();
        private Set<String> excludedMachines = Set.of();
        private boolean imageLocalityRequired;
        private boolean overdue;
        private boolean hasReservation;
        private boolean crashLooping;
        private double waitedS;

        private Builder(JobSpec job, int waitingTasks) {
            this.job = job;
            this.waitingTasks = waitingTasks;
        }

        /** Whether the job's team is within its guarantee with it. */
        public Builder withinGuarantee(boolean within) {
            withinGuarantee = within;
            return this;
        }

        /** Loop time in seconds at which the job's tasks could first be started. */
        public Builder readyAt(double time) {
            readyAt = time;
            return this;
        }

        /** Tasks of the job that may be alive, by zone; the pass counts what it places in it. */
        public Builder tasksPerZone(Map<String, Integer> tasks) {
            tasksPerZone = tasks;
            return this;
        }

        /** Names of machines that are not to be used for the job now. */
        public Builder excludedMachines(Set<String> machines) {
            excludedMachines = machines;
            return this;
        }

        /** Whether only machines that have the job's image will do. */
        public Builder imageLocalityRequired(boolean required) {
            imageLocalityRequired = required;
            return this;
        }

        /** Whether the job has waited so long that it goes first. */
        public Builder overdue(boolean late) {
            overdue = late;
            return this;
        }

        /** Whether other tasks are being stopped to free capacity for the job. */
        public Builder hasReservation(boolean reservation) {
            hasReservation = reservation;
            return this;
        }

        /** Whether the job has only failed so far, so that nothing is to be stopped for it. */
        public Builder crashLooping(boolean onlyFailed) {
            crashLooping = onlyFailed;
            return this;
        }

        /**
         * Seconds that the job has waited. In a team's queue what has waited longest for its size
         * goes first: under overload whole jobs are done in time instead of parts of all of them,
         * and a large one's turn comes all the same.
         */
        public Builder waitedS(double seconds) {
            waitedS = seconds;
            return this;
        }

        /** Creates the request; several from one builder share their maps and sets. */
        public PlacementRequest build() {
            return new PlacementRequest(this);
        }
    }

    /** The job whose tasks wait, with its effective priority. */
    public JobSpec job() {
        return job;
    }

    /** Tasks still without a machine. */
    public int waitingTasks() {
        return waitingTasks;
    }

    /** Whether the job's team is within its guarantee with it. */
    public boolean withinGuarantee() {
        return withinGuarantee;
    }

    /** Whether the job has only failed so far, so that nothing is stopped for it. */
    public boolean crashLooping() {
        return crashLooping;
    }

    /** Whether only machines with the job's image in their cache will do. */
    public boolean imageLocalityRequired() {
        return imageLocalityRequired;
    }

    /**
     * From now on machines without the image will do as well; what was unschedulable for want of it
     * is tried again.
     */
    public void relaxImageLocality() {
        if (imageLocalityRequired) {
            unschedulable = false;
        }
        imageLocalityRequired = false;
    }

    /**
     * No machine had capacity for it; where tasks wait and this is false, its team's limit holds
     * them up.
     */
    public boolean unschedulable() {
        return unschedulable;
    }

    /** Whether at least one task was chosen to be stopped for it. */
    public boolean causedPreemption() {
        return causedPreemption;
    }
}
