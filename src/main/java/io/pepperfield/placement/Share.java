package io.pepperfield.placement;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;

/** A team's limit and guarantee, and what its tasks that may be alive take of them. */
public final class Share {

    final Settings.Team team;
    double cpus;
    double gpus;

    /** What its replicas take of that: no waiting frees it. */
    private final double lastingCpus;

    private final double lastingGpus;

    /** Creates a team's share from its limits and what its tasks take now. */
    public Share(
            Settings.Team team, double cpus, double gpus, double lastingCpus, double lastingGpus) {
        this.team = team;
        this.cpus = cpus;
        this.gpus = gpus;
        this.lastingCpus = lastingCpus;
        this.lastingGpus = lastingGpus;
    }

    /**
     * The same figures, to be changed apart: what is being stopped still counts against a limit
     * until it is gone.
     */
    public Share copy() {
        return new Share(team, cpus, gpus, lastingCpus, lastingGpus);
    }

    /** Rounding in sums of decimal figures must neither break a limit nor waste its last task. */
    private static final double SLACK = 1e-6;

    boolean allows(double moreCpus, double moreGpus) {
        return cpus + moreCpus <= team.cpusMax() + SLACK
                && (moreGpus == 0 || gpus + moreGpus <= team.gpusMax() + SLACK);
    }

    /** Whether the limit will leave so much once all that ends by itself has ended. */
    boolean willAllow(double someCpus, double someGpus) {
        return lastingCpus + someCpus <= team.cpusMax() + SLACK
                && (someGpus == 0 || lastingGpus + someGpus <= team.gpusMax() + SLACK);
    }

    /** Takes off what that many tasks of the job use; a negative number adds it. */
    public void free(JobSpec job, int tasks) {
        cpus -= tasks * job.cpus();
        gpus -= tasks * job.gpus();
    }

    /** How much of its guarantee the team uses; a team with none comes last. */
    double used() {
        return team.cpus() > 0 ? cpus / team.cpus() : Double.MAX_VALUE;
    }

    /** CPUs that its tasks take. */
    public double cpus() {
        return cpus;
    }

    /** Whether it uses more than its guarantee. */
    public boolean borrows() {
        return cpus > team.cpus();
    }
}
