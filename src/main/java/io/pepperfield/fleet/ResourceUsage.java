package io.pepperfield.fleet;

import io.pepperfield.jobs.JobSpec;

/**
 * The resources that a set of attempts takes as long as they may be alive, such as those of one
 * machine or one team, with the part of service replicas, which do not end by themselves. Used on
 * the owner thread only.
 */
final class ResourceUsage {

    private int attemptCount;
    private int replicaCount;
    private double cpus;
    private double gpus;
    private double memGb;
    private double replicaCpus;
    private double replicaGpus;
    private double replicaMemGb;

    /** Counts an attempt that may be alive from now on. */
    void add(JobSpec spec) {
        adjust(spec, 1);
    }

    /** Counts an attempt no longer that was added before. */
    void remove(JobSpec spec) {
        adjust(spec, -1);
    }

    private void adjust(JobSpec spec, int sign) {
        attemptCount += sign;
        // An empty set starts again from zero, so that rounding errors never add up.
        cpus = attemptCount == 0 ? 0 : cpus + sign * spec.cpus();
        gpus = attemptCount == 0 ? 0 : gpus + sign * spec.gpus();
        memGb = attemptCount == 0 ? 0 : memGb + sign * spec.memGb();
        if (spec.isService()) {
            replicaCount += sign;
            replicaCpus = replicaCount == 0 ? 0 : replicaCpus + sign * spec.cpus();
            replicaGpus = replicaCount == 0 ? 0 : replicaGpus + sign * spec.gpus();
            replicaMemGb = replicaCount == 0 ? 0 : replicaMemGb + sign * spec.memGb();
        }
    }

    /** The number of attempts that may be alive. */
    int attemptCount() {
        return attemptCount;
    }

    /** The number of service replicas among them. */
    int replicaCount() {
        return replicaCount;
    }

    double cpus() {
        return cpus;
    }

    double gpus() {
        return gpus;
    }

    double memGb() {
        return memGb;
    }

    double replicaCpus() {
        return replicaCpus;
    }

    double replicaGpus() {
        return replicaGpus;
    }

    double replicaMemGb() {
        return replicaMemGb;
    }
}
