package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;

/** Cuts between the hosts of a simulated region; what is sent meanwhile is held back. */
public final class NetworkPartitions {

    private final SimWorld world;
    private final SimMachines machines;
    private final int nodeCount;

    NetworkPartitions(SimWorld world, SimMachines machines, int nodeCount) {
        this.world = world;
        this.machines = machines;
        this.nodeCount = nodeCount;
    }

    /**
     * A zone's machines and one controller inside are cut off from everything else, and go on with
     * each other.
     */
    public void isolateZone(String zone, int inside, double until) {
        List<String> within =
                new ArrayList<>(List.of("node-" + inside, "10.0.0." + (inside + 1) + ":"));
        machines.all().stream()
                .filter(worker -> worker.zone.equals(zone))
                .forEach(worker -> within.addAll(List.of(worker.name, worker.address)));
        List<String> without = new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "users"));
        machines.all().stream()
                .filter(worker -> !worker.zone.equals(zone))
                .forEach(worker -> without.addAll(List.of(worker.name, worker.address)));
        for (int other = 0; other < nodeCount; other++) {
            if (other != inside) {
                without.addAll(List.of("node-" + other, "10.0.0." + (other + 1) + ":"));
            }
        }
        within.forEach(from -> without.forEach(to -> world.partition(from, to, until)));
    }

    /** Cut from the state service and the other controllers, but not from the workers. */
    public void isolateFromStoreAndPeers(int index, double until) {
        world.partition("node-" + index, "10.2.0.1", until);
        for (int other = 0; other < nodeCount; other++) {
            if (other != index) {
                world.partition("node-" + index, "10.0.0." + (other + 1), until);
                world.partition("node-" + other, "10.0.0." + (index + 1), until);
            }
        }
    }

    /** Cuts one controller from the others until then, and not from its users. */
    public void isolateFromPeers(int index, double until) {
        for (int other = 0; other < nodeCount; other++) {
            if (other != index) {
                world.partition("node-" + index, "10.0.0." + (other + 1) + ":8081", until);
                world.partition("node-" + other, "10.0.0." + (index + 1) + ":8081", until);
            }
        }
    }
}
