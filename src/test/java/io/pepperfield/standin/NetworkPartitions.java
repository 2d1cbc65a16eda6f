package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * Network partitions between the hosts of a simulated region. Messages sent during a partition are
 * held until it ends.
 */
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
     * Isolates a zone's machines and one controller from everything else; they can still reach each
     * other.
     */
    public void isolateZone(String zone, int controllerInside, double until) {
        List<String> insideHosts =
                new ArrayList<>(
                        List.of(
                                "node-" + controllerInside,
                                "10.0.0." + (controllerInside + 1) + ":"));
        machines.all().stream()
                .filter(worker -> worker.zone.equals(zone))
                .forEach(worker -> insideHosts.addAll(List.of(worker.name, worker.address)));
        List<String> outsideHosts = new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "users"));
        machines.all().stream()
                .filter(worker -> !worker.zone.equals(zone))
                .forEach(worker -> outsideHosts.addAll(List.of(worker.name, worker.address)));
        for (int other = 0; other < nodeCount; other++) {
            if (other != controllerInside) {
                outsideHosts.addAll(List.of("node-" + other, "10.0.0." + (other + 1) + ":"));
            }
        }
        insideHosts.forEach(from -> outsideHosts.forEach(to -> world.partition(from, to, until)));
    }

    /**
     * Isolates a controller from the state service and the other controllers, but not from the
     * workers.
     */
    public void isolateFromStoreAndPeers(int index, double until) {
        world.partition("node-" + index, "10.2.0.1", until);
        for (int other = 0; other < nodeCount; other++) {
            if (other != index) {
                world.partition("node-" + index, "10.0.0." + (other + 1), until);
                world.partition("node-" + other, "10.0.0." + (index + 1), until);
            }
        }
    }

    /** Isolates a controller from the other controllers, but not from its users. */
    public void isolateFromPeers(int index, double until) {
        for (int other = 0; other < nodeCount; other++) {
            if (other != index) {
                world.partition("node-" + index, "10.0.0." + (other + 1) + ":8081", until);
                world.partition("node-" + other, "10.0.0." + (index + 1) + ":8081", until);
            }
        }
    }
}
