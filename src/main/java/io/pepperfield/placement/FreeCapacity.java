package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Set;

/** A machine that may take tasks, with the room left on it; the placer uses it up. */
public final class FreeCapacity {

    final String machineName;
    final String machineType;
    final String zone;
    final boolean spot;
    final Set<String> cachedImages;
    double freeCpus;
    double freeGpus;
    double freeMemGb;

    /** What it will have at most, once all that ends by itself has ended. */
    final Capacity eventualCapacity;

    /**
     * Creates the free room of a machine; {@code most} is what it will have once all batch tasks
     * end.
     */
    public FreeCapacity(
            String machine,
            String type,
            String zone,
            boolean spot,
            Set<String> images,
            double cpus,
            double gpus,
            double memGb,
            Capacity most) {
        this.eventualCapacity = most;
        this.machineName = machine;
        this.machineType = type;
        this.zone = zone;
        this.spot = spot;
        this.cachedImages = images;
        this.freeCpus = cpus;
        this.freeGpus = gpus;
        this.freeMemGb = memGb;
    }

    /** Counts what that many tasks of the job take as free; a negative number takes it. */
    public void release(JobSpec job, int tasks) {
        freeCpus += tasks * job.cpus();
        freeGpus += tasks * job.gpus();
        freeMemGb += tasks * job.memGb();
    }

    /** The name of the machine. */
    public String machineName() {
        return machineName;
    }
}
