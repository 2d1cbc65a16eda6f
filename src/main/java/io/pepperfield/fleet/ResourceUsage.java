package io.pepperfield.fleet;

import io.pepperfield.jobs.JobSpec;

/**
 * The resources used by a set of live attempts, such as those of one machine or one team. The share
 * of service replicas, which do not end by themselves, is also counted separately. Used on the
 * owner thread only.
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

    /** Adds the resources of a live attempt. */
    void add(JobSpec spec) {
        adjust(spec, 1);
    }

    /** Removes the resources of an attempt that was added before. */
    void remove(JobSpec spec) {
        adjust(spec, -1);
    }

    private void adjust(JobSpec spec, int sign) {
        attemptCount += sign;
        // Reset to zero when the set is empty, so that rounding errors do not accumulate.
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

    /** The number of live attempts. */
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
