package io.pepperfield.standin;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** Injects a fault of a random kind, drawn from the random generator of the region. */
final class RandomFault {

    private final SimulatedRegion region;
    private final SimWorld world;
    private final SimMachines machines;

    RandomFault(SimulatedRegion region, SimMachines machines) {
        this.region = region;
        this.world = region.world;
        this.machines = machines;
    }

    void inject() {
        double now = world.now();
        double until = now + 1 + 14 * world.random.nextDouble();
        int node = world.random.nextInt(region.nodeCount());
        Optional<WorkerStandIn> worker = randomWorker();
        switch (world.random.nextInt(21)) {
            case 0 -> region.faults.crash(node, world.random.nextBoolean() ? 0.2 : 3);
            case 1 -> crashAll(0.5, 2);
            case 2 -> region.faults.storeOutage(until);
            case 3 -> region.faults.cloudOutage(until);
            case 4 -> world.partition("node-" + node, "10.2.0.1", until);
            case 5 -> cutFromWorkers(node, until);
            case 6 -> world.partition("node-" + node, "10.", until);
            case 7 -> worker.ifPresent(target -> target.hang(until));
            case 8 ->
                    worker.ifPresent(
                            target -> target.failReceiving(until + SimulatedRegion.LEASE_S));
            case 9 -> region.networkPartitions.isolateFromStoreAndPeers(node, until);
            case 10 -> world.partition("node-", "10.0.", until);
            case 11 -> worker.ifPresent(machines::reboot);
            case 12 -> region.faults.pause(node, until);
            case 13 -> region.networkPartitions.isolateZone("east", node, until);
            case 14 -> region.faults.hangSomeMachines(until);
            case 16 -> region.faults.slowBoots(0.05, 0, until);
            case 17 -> region.faults.slowBoots(4, 0.3, until);
            case 18 -> region.queryMoreOften(until);
            case 19 -> region.faults.pause(node, until + 2 * SimulatedRegion.LEASE_S);
            case 15 -> {
                region.faults.storeOutage(until);
                world.after(1, () -> crashAll(0.2, 3));
            }
            default -> worker.ifPresent(target -> target.losePower());
        }
    }

    private Optional<WorkerStandIn> randomWorker() {
        List<WorkerStandIn> all = machines.all();
        return all.isEmpty()
                ? Optional.empty()
                : Optional.of(all.get(world.random.nextInt(all.size())));
    }

    /**
     * Crashes all controllers, each for a random time from {@code minS} to {@code minS + spreadS}.
     */
    private void crashAll(double minS, double spreadS) {
        allNodes()
                .forEach(
                        node ->
                                region.faults.crash(
                                        node, minS + spreadS * world.random.nextDouble()));
    }

    private void cutFromWorkers(int index, double until) {
        world.partition("node-" + index, "10.1.", until);
        world.partition("host-", "10.0.0." + (index + 1) + ":", until);
    }

    private IntStream allNodes() {
        return IntStream.range(0, region.nodeCount());
    }
}
