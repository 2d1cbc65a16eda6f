package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Set;

/** A machine that may take tasks, with the room left on it; the placer uses it up. */
public final class Room {

    final String machine;
    final String type;
    final String zone;
    final boolean spot;
    final Set<String> images;
    double cpus;
    double gpus;
    double memGb;

    /** What it will have at most, once all that ends by itself has ended. */
    final Capacity most;

    /**
     * Creates the free room of a machine; {@code most} is what it will have once all batch tasks
     * end.
     */
    public Room(
            String machine,
            String type,
            String zone,
            boolean spot,
            Set<String> images,
            double cpus,
            double gpus,
            double memGb,
            Capacity most) {
        this.most = most;
        this.machine = machine;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.images = images;
        this.cpus = cpus;
        this.gpus = gpus;
        this.memGb = memGb;
    }

    /** Counts what that many tasks of the job take as free; a negative number takes it. */
    public void free(JobSpec job, int tasks) {
        cpus += tasks * job.cpus();
        gpus += tasks * job.gpus();
        memGb += tasks * job.memGb();
    }

    /** The name of the machine. */
    public String machine() {
        return machine;
    }
}
