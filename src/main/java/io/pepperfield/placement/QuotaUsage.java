package io.pepperfield.placement;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;

/**
 * A team's limit and guarantee, and what its tasks that may be alive take of them: an account that
 * one pass uses up. Confined to the event loop.
 */
public final class QuotaUsage {

    /** Rounding in sums of decimal figures must neither break a limit nor waste its last task. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    final Settings.Team team;
    double usedCpus;
    double usedGpus;

    /** What replicas of its services take of that: no waiting frees it. */
    private final double replicaCpus;

    private final double replicaGpus;

    /**
     * Creates a team's account from its limits and what its tasks take now.
     *
     * @param replicaCpus the part of {@code usedCpus} that replicas of services take
     * @param replicaGpus the part of {@code usedGpus} that replicas of services take
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
     * An account with the same figures, to be changed apart: what is being stopped still counts
     * against a limit until it is gone.
     */
    public QuotaUsage copy() {
        return new QuotaUsage(team, usedCpus, usedGpus, replicaCpus, replicaGpus);
    }

    /** Whether so much more stays within the limit. */
    boolean fitsLimit(double moreCpus, double moreGpus) {
        return usedCpus + moreCpus <= team.cpuLimit() + ROUNDING_TOLERANCE
                && (moreGpus == 0 || usedGpus + moreGpus <= team.gpuLimit() + ROUNDING_TOLERANCE);
    }

    /** Whether the limit will leave so much once all that ends by itself has ended. */
    boolean fitsLimitWithOnlyReplicas(double moreCpus, double moreGpus) {
        return replicaCpus + moreCpus <= team.cpuLimit() + ROUNDING_TOLERANCE
                && (moreGpus == 0
                        || replicaGpus + moreGpus <= team.gpuLimit() + ROUNDING_TOLERANCE);
    }

    /** Takes off what that many tasks of the job use; a negative number adds it. */
    public void release(JobSpec job, int tasks) {
        usedCpus -= tasks * job.cpus();
        usedGpus -= tasks * job.gpus();
    }

    /** The fraction of its guarantee that the team uses; a team with none comes last. */
    double guaranteeUtilization() {
        return team.guaranteedCpus() > 0 ? usedCpus / team.guaranteedCpus() : Double.MAX_VALUE;
    }

    /** CPUs that its tasks take. */
    public double usedCpus() {
        return usedCpus;
    }

    /** Whether it uses more than its guarantee. */
    public boolean exceedsGuarantee() {
        return usedCpus > team.guaranteedCpus();
    }
}
