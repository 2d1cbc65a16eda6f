package io.pepperfield.fleet;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.Capacity;

/**
 * The resources that the attempts of one machine take as long as they may be alive, with the part
 * of service replicas, which do not end by themselves. Used on the owner thread only.
 */
final class MachineUsage {

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
        replicaCount += spec.isService() ? sign : 0;
        // An empty machine starts again from zero, so that rounding errors never add up.
        cpus = attemptCount == 0 ? 0 : cpus + sign * spec.cpus();
        gpus = attemptCount == 0 ? 0 : gpus + sign * spec.gpus();
        memGb = attemptCount == 0 ? 0 : memGb + sign * spec.memGb();
        if (spec.isService()) {
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

    double freeCpus(MachineType type) {
        return type.cpus() - cpus;
    }

    double freeGpus(MachineType type) {
        return type.gpus() - gpus;
    }

    double freeMemGb(MachineType type) {
        return type.memGb() - memGb;
    }

    /** What is left beside the replicas, once all else has ended. */
    Capacity capacityBesideReplicas(MachineType type) {
        return new Capacity(
                type.cpus() - replicaCpus, type.gpus() - replicaGpus, type.memGb() - replicaMemGb);
    }
}
