package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.MachineAttributes;
import java.util.HashSet;
import java.util.Set;

/**
 * The unallocated resources of a schedulable machine. Each scheduling pass works on its own copy
 * and allocates from it. Confined to the event loop.
 */
public final class FreeCapacity {

    final String machineName;
    final MachineAttributes attributes;
    double freeCpus;
    double freeGpus;
    double freeMemGb;

    /** Upper bound of the free capacity: what is free once all batch tasks have ended. */
    final Capacity eventualCapacity;

    private Set<String> cachedImages;

    /** Whether {@link #cachedImages} is a private copy that may be modified. */
    private boolean ownsCachedImages;

    /**
     * Creates the free capacity of a machine.
     *
     * @param cachedImages images in the machine's cache; the set is not modified
     * @param free resources not held by any possibly live attempt
     * @param eventual resources that are free once all batch tasks have ended
     */
    public FreeCapacity(
            String machineName,
            MachineAttributes attributes,
            Set<String> cachedImages,
            Capacity free,
            Capacity eventual) {
        this.machineName = machineName;
        this.attributes = attributes;
        this.cachedImages = cachedImages;
        this.freeCpus = free.cpus();
        this.freeGpus = free.gpus();
        this.freeMemGb = free.memGb();
        this.eventualCapacity = eventual;
    }

    /**
     * Returns the resources of {@code tasks} tasks of the job to the free capacity; a negative
     * count allocates them.
     */
    public void release(JobSpec job, int tasks) {
        freeCpus += tasks * job.cpus();
        freeGpus += tasks * job.gpus();
        freeMemGb += tasks * job.memGb();
    }

    /** Records that the machine has the image in its cache. */
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

    /** Returns the name of the machine. */
    public String machineName() {
        return machineName;
    }
}
