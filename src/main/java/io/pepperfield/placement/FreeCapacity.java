package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.HashSet;
import java.util.Set;

/**
 * What is left of a machine that may take tasks: an account that one pass uses up. Confined to the
 * event loop.
 */
public final class FreeCapacity {

    final String machineName;
    final String machineType;
    final String zone;
    final boolean spot;
    double freeCpus;
    double freeGpus;
    double freeMemGb;

    /** What it will have at most, once all that ends by itself has ended. */
    final Capacity eventualCapacity;

    private Set<String> cachedImages;

    /** Whether {@link #cachedImages} is this account's own and may be changed. */
    private boolean ownsCachedImages;

    /**
     * Creates the account of a machine.
     *
     * @param cachedImages images in the machine's cache; not changed by the account
     * @param free what no attempt takes that may be alive
     * @param eventual what will be free once all batch tasks have ended
     */
    public FreeCapacity(
            String machineName,
            String machineType,
            String zone,
            boolean spot,
            Set<String> cachedImages,
            Capacity free,
            Capacity eventual) {
        this.machineName = machineName;
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
        this.cachedImages = cachedImages;
        this.freeCpus = free.cpus();
        this.freeGpus = free.gpus();
        this.freeMemGb = free.memGb();
        this.eventualCapacity = eventual;
    }

    /** Counts what that many tasks of the job take as free; a negative number takes it. */
    public void release(JobSpec job, int tasks) {
        freeCpus += tasks * job.cpus();
        freeGpus += tasks * job.gpus();
        freeMemGb += tasks * job.memGb();
    }

    /** From now on the machine counts as one that has the image. */
    public void addCachedImage(String image) {
        if (cachedImages.contains(image)) {
            return;
        }
        if (!ownsCachedImages) {
            cachedImages = new HashSet<>(cachedImages);
            ownsCachedImages = true;
        }
        cachedImages.add(image);
    }

    boolean hasImage(String image) {
        return cachedImages.contains(image);
    }

    /** The name of the machine. */
    public String machineName() {
        return machineName;
    }
}
