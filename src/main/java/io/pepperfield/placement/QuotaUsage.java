package io.pepperfield.placement;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;

/** A team's limit and guarantee, and what its tasks that may be alive take of them. */
public final class QuotaUsage {

    final Settings.Team team;
    double usedCpus;
    double usedGpus;

    /** What its replicas take of that: no waiting frees it. */
    private final double replicaCpus;

    private final double replicaGpus;

    /** Creates a team's share from its limits and what its tasks take now. */
    public QuotaUsage(
            Settings.Team team, double cpus, double gpus, double lastingCpus, double lastingGpus) {
        this.team = team;
        this.usedCpus = cpus;
        this.usedGpus = gpus;
        this.replicaCpus = lastingCpus;
        this.replicaGpus = lastingGpus;
    }

    /**
     * The same figures, to be changed apart: what is being stopped still counts against a limit
     * until it is gone.
     */
    public QuotaUsage copy() {
        return new QuotaUsage(team, usedCpus, usedGpus, replicaCpus, replicaGpus);
    }

    /** Rounding in sums of decimal figures must neither break a limit nor waste its last task. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    boolean fitsLimit(double moreCpus, double moreGpus) {
        return usedCpus + moreCpus <= team.cpuLimit() + ROUNDING_TOLERANCE
                && (moreGpus == 0 || usedGpus + moreGpus <= team.gpuLimit() + ROUNDING_TOLERANCE);
    }

    /** Whether the limit will leave so much once all that ends by itself has ended. */
    boolean fitsLimitBesideReplicas(double someCpus, double someGpus) {
        return replicaCpus + someCpus <= team.cpuLimit() + ROUNDING_TOLERANCE
                && (someGpus == 0
                        || replicaGpus + someGpus <= team.gpuLimit() + ROUNDING_TOLERANCE);
    }

    /** Takes off what that many tasks of the job use; a negative number adds it. */
    public void release(JobSpec job, int tasks) {
        usedCpus -= tasks * job.cpus();
        usedGpus -= tasks * job.gpus();
    }

    /** How much of its guarantee the team uses; a team with none comes last. */
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
