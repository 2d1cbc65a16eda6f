package io.pepperfield.placement;

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

    public Room(String machine, String type, String zone, boolean spot, Set<String> images, double cpus, double gpus, double memGb) {
        this.machine = machine;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.images = images;
        this.cpus = cpus;
        this.gpus = gpus;
        this.memGb = memGb;
    }

    public Room copy() {
        return new Room(machine, type, zone, spot, images, cpus, gpus, memGb);
    }

    /** Counts what is being stopped there as free. */
    public void freeing(double moreCpus, double moreGpus, double moreMemGb) {
        cpus += moreCpus;
        gpus += moreGpus;
        memGb += moreMemGb;
    }

    public String machine() {
        return machine;
    }
}
