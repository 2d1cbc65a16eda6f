package io.pepperfield.placement;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;

/**
 * A team's quota (limit and guarantee) and its usage by possibly live tasks. Each scheduling pass
 * works on its own copy and allocates from it. Confined to the event loop.
 */
public final class QuotaUsage {

    /**
     * Absorbs floating-point errors in sums; too small to let a team exceed its limit by a task.
     */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    final Settings.Team team;
    double usedCpus;
    double usedGpus;

    /** CPUs used by replicas of services, which do not end by themselves. */
    private final double replicaCpus;

    private final double replicaGpus;

    /**
     * Creates the quota usage of a team.
     *
     * @param replicaCpus the part of {@code usedCpus} used by replicas of services
     * @param replicaGpus the part of {@code usedGpus} used by replicas of services
     */
    public QuotaUsage(
            Settings.Team team,
            double usedCpus,
            double usedGpus,
            double replicaCpus,
            double replicaGpus) {
        this.team = team;
        this.usedCpus = usedCpus;
        this.usedGpus = usedGpus;
        this.replicaCpus = replicaCpus;
        this.replicaGpus = replicaGpus;
    }

    /**
     * Returns an independent copy. Preemption planning subtracts tasks that are being stopped from
     * the copy, while they count against the original's limit until they have terminated.
     */
    public QuotaUsage copy() {
        return new QuotaUsage(team, usedCpus, usedGpus, replicaCpus, replicaGpus);
    }

    /** Returns whether the additional resources stay within the limit. */
    boolean fitsLimit(double additionalCpus, double additionalGpus) {
        return usedCpus + additionalCpus <= team.cpuLimit() + ROUNDING_TOLERANCE
                && (additionalGpus == 0
                        || usedGpus + additionalGpus <= team.gpuLimit() + ROUNDING_TOLERANCE);
    }

    /** Returns whether the additional resources fit the limit once all batch tasks have ended. */
    boolean fitsLimitWithOnlyReplicas(double additionalCpus, double additionalGpus) {
        return replicaCpus + additionalCpus <= team.cpuLimit() + ROUNDING_TOLERANCE
                && (additionalGpus == 0
                        || replicaGpus + additionalGpus <= team.gpuLimit() + ROUNDING_TOLERANCE);
    }

    /** Subtracts the usage of {@code tasks} tasks of the job; a negative count adds it. */
    public void release(JobSpec job, int tasks) {
        usedCpus -= tasks * job.cpus();
        usedGpus -= tasks * job.gpus();
    }

    /**
     * Returns the used fraction of the team's guarantee; a team without a guarantee ranks last with
     * {@link Double#MAX_VALUE}.
     */
    double guaranteeUtilization() {
        return team.guaranteedCpus() > 0 ? usedCpus / team.guaranteedCpus() : Double.MAX_VALUE;
    }

    /** Returns the CPUs used by the team's tasks. */
    public double usedCpus() {
        return usedCpus;
    }

    /** Returns whether the team uses more CPUs than its guarantee. */
    public boolean exceedsGuarantee() {
        return usedCpus > team.guaranteedCpus();
    }
}
