package io.pepperfield.standin;

import java.util.List;
import java.util.function.Consumer;

/** What goes wrong in a simulated region: of services, controllers and machines. */
public final class RegionFaults {

    private final SimulatedRegion region;
    private final SimWorld world;
    private final StoreStandIn store;
    private final SimMachines machines;
    private final List<SimNode> nodes;
    private final Outage storeOutage;
    private final Outage cloudOutage;

    RegionFaults(
            SimulatedRegion region, SimMachines machines, List<SimNode> nodes, CloudStandIn cloud) {
        this.region = region;
        this.world = region.world;
        this.store = region.store;
        this.machines = machines;
        this.nodes = nodes;
        this.storeOutage = new Outage(world, store::setOutage);
        this.cloudOutage = new Outage(world, cloud::setOutage);
    }

    /** Outages of one service, which end with the last of them. */
    private static final class Outage {
        private final SimWorld world;
        private final Consumer<Boolean> service;
        private double lastUntil;

        Outage(SimWorld world, Consumer<Boolean> service) {
            this.world = world;
            this.service = service;
        }

        void begin(double until) {
            service.accept(true);
            lastUntil = Math.max(lastUntil, until);
            world.at(until, this::endIfLast);
        }

        private void endIfLast() {
            if (world.now() >= lastUntil) {
                service.accept(false);
            }
        }
    }

    /** One fault drawn from the seed. */
    public void injectRandomFault() {
        new RandomFault(region, machines).inject();
    }

    /**
     * Machines that are rented until then take so many times as long to boot, and that part of them
     * never comes up.
     */
    public void slowBoots(double factor, double never, double until) {
        machines.slowBoots(factor, never, until);
    }

    /** Ends a controller's process, which comes back after that time. */
    public void crash(int index, double forS) {
        nodes.get(index).crash(forS);
    }

    /** The process stands still while its clocks run on; what comes for it waits. */
    public void pause(int index, double until) {
        nodes.get(index).pause(until);
    }

    /** A third of the machines hang, as when a rack stands still. */
    public void hangSomeMachines(double until) {
        machines.all().stream()
                .filter(worker -> world.random.nextInt(3) == 0)
                .forEach(worker -> worker.hang(until));
    }

    /**
     * The leader ends for good, and until then nobody else can be elected, although the state
     * service answers.
     */
    public void preventElection(double until) {
        int leader = region.leaderIndex();
        store.grantsStalled = true;
        crash(leader, until - world.now());
        world.at(until, () -> store.grantsStalled = false);
    }

    /** The state service answers everybody 503. */
    public void storeOutage(double until) {
        storeOutage.begin(until);
    }

    /** From now on the state service has its lower limits. */
    public void reduceStoreLimits() {
        store.limits = new StoreLimitsStandIn(RegionSettings.REDUCED_LIMITS, world.now());
    }

    /** Until then every request about grants is refused as beyond the rate. */
    public void refuseGrants(double until) {
        store.grantsRefusedUntil = Math.max(store.grantsRefusedUntil, until);
    }

    /** Ends a controller's process, which comes back as that version. */
    public void restartAs(int index, Version by, double downS) {
        nodes.get(index).restartAs(by, downS);
    }

    /** The cloud answers everybody 503. */
    void cloudOutage(double until) {
        cloudOutage.begin(until);
    }
}
