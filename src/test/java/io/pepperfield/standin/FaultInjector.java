package io.pepperfield.standin;

import io.pepperfield.standin.Fault.Side;
import io.pepperfield.standin.Fault.Way;
import java.util.function.Consumer;

/** Makes the faults of a scenario happen in a region. */
final class FaultInjector {

    private final SimulatedRegion region;
    private final SimWorld world;
    private final SimMachines machines;
    private final SimUsers users;
    private int submissionFloods;
    private int largeArrays;

    FaultInjector(SimulatedRegion region, SimMachines machines, SimUsers users) {
        this.region = region;
        this.world = region.world;
        this.machines = machines;
        this.users = users;
    }

    void inject(Fault fault) {
        double until = world.now() + fault.durationS();
        boolean begun =
                injectIntoServices(fault, until)
                        || injectIntoMachines(fault, until)
                        || injectIntoControllers(fault, until)
                        || injectIntoUsers(fault, until);
        if (!begun) {
            throw new IllegalArgumentException(fault.toString());
        }
    }

    /**
     * The state service, the cloud, and the network between all. False where the fault is of
     * another kind.
     */
    private boolean injectIntoServices(Fault fault, double until) {
        if (fault instanceof Fault.StoreOutage) {
            region.faults.storeOutage(until);
        } else if (fault instanceof Fault.CloudOutage) {
            region.faults.cloudOutage(until);
        } else if (fault instanceof Fault.StorePartition cut) {
            each(cut.controllers(), node -> cut(node, Side.STATE, cut.mode(), until));
        } else if (fault instanceof Fault.StoreLatency slow) {
            region.storeLink.slow(slow.addedS(), until);
        } else if (fault instanceof Fault.DelayedWrites late) {
            region.storeLink.late(late.share(), until, late.appliedAtOnce());
        } else if (fault instanceof Fault.ReplayedHeartbeats late) {
            region.heartbeatReplays.copy(late.share(), until, late.heldForNextLeader());
        } else if (fault instanceof Fault.NetworkLatency slow) {
            world.slow(slow.addedS(), until);
        } else if (fault instanceof Fault.StoreLimitsReduction) {
            region.faults.reduceStoreLimits();
        } else if (fault instanceof Fault.GrantsRefused) {
            region.faults.refuseGrants(until);
        } else {
            return false;
        }
        return true;
    }

    /** Machines and their workers. False where the fault is of another kind. */
    private boolean injectIntoMachines(Fault fault, double until) {
        if (fault instanceof Fault.MachineReceiveFailure failure) {
            each(failure.machines(), worker -> worker.failReceiving(until));
        } else if (fault instanceof Fault.MachineSendFailure failure) {
            each(failure.machines(), worker -> machines.failSending(worker, until));
        } else if (fault instanceof Fault.MachineHang hang) {
            each(hang.machines(), worker -> worker.hang(until));
        } else if (fault instanceof Fault.MachinePartition cut) {
            each(
                    cut.machines(),
                    worker -> {
                        world.cut(worker.name, "10.", until);
                        world.cut("node-", worker.address, until);
                    });
        } else if (fault instanceof Fault.MachineLoss loss) {
            each(loss.machines(), WorkerStandIn::losePower);
        } else if (fault instanceof Fault.MachineReboot reboot) {
            each(reboot.machines(), machines::reboot);
        } else if (fault instanceof Fault.DelayedOrders held) {
            each(held.machines(), worker -> machines.delayOrders(worker, held.delayS(), until));
        } else if (fault instanceof Fault.FastBoots) {
            machines.slowBoots(0.3, 0, until);
        } else {
            return false;
        }
        return true;
    }

    /** Controllers. False where the fault is of another kind. */
    private boolean injectIntoControllers(Fault fault, double until) {
        if (fault instanceof Fault.ZonePartition cut) {
            each(cut.controllers(), node -> region.networkPartitions.zone(cut.zone(), node, until));
        } else if (fault instanceof Fault.ControllerPartition cut) {
            each(
                    cut.controllers(),
                    node -> cut.sides().forEach(side -> cut(node, side, cut.mode(), until)));
        } else if (fault instanceof Fault.ControllerCrash crash) {
            each(crash.controllers(), node -> region.faults.crash(node, crash.durationS()));
        } else if (fault instanceof Fault.LeaderCrashes changes) {
            for (int i = 0; i < changes.times(); i++) {
                world.after(
                        i * changes.durationS() / changes.times(),
                        () -> region.faults.crash(region.lastLeader(), downS()));
            }
        } else if (fault instanceof Fault.ControllerPause pause) {
            each(pause.controllers(), node -> region.faults.pause(node, until));
        } else if (fault instanceof Fault.Upgrade upgrade) {
            new RollingUpgrade(region, region.nodeCount(), upgrade.toVersion()).begin(upgrade);
        } else if (fault instanceof Fault.OperatorCommand asks) {
            region.operator.repeatUntilConfirmed(asks.command(), until);
        } else if (fault instanceof Fault.ControllerReplacement replace) {
            each(
                    replace.controllers(),
                    node -> region.faults.replace(node, replace.toVersion(), replace.durationS()));
        } else {
            return false;
        }
        return true;
    }

    /** Users and what they ask for. False where the fault is of another kind. */
    private boolean injectIntoUsers(Fault fault, double until) {
        if (fault instanceof Fault.CancelNow cancel) {
            users.cancelRunning(cancel.count(), Fault.CancelNow.CANCEL_WINDOW_S).stream()
                    .limit(cancel.hangS() > 0 ? Fault.CancelNow.MAX_HUNG_MACHINES : 0)
                    .forEach(worker -> worker.hang(world.now() + cancel.hangS()));
        } else if (fault instanceof Fault.CancelAtEnd cancel) {
            users.cancelAtEnd(cancel.share(), until);
        } else if (fault instanceof Fault.ReadAfterWriteChecks) {
            users.checkReadsAfterWrites(until);
        } else if (fault instanceof Fault.InvalidRequests invalid) {
            for (int i = 0; i < invalid.durationS() * 4; i++) {
                world.after(i / 4.0, users.invalidRequests::sendOne);
            }
        } else if (fault instanceof Fault.SubmissionFlood flood) {
            int first = 100_000 * ++submissionFloods;
            for (int i = 0; i < flood.jobsPerS() * flood.durationS(); i++) {
                int number = first + i;
                world.after(i / flood.jobsPerS(), () -> region.jobMix.submitSingle(number));
            }
        } else if (fault instanceof Fault.Pipelines pipelines) {
            for (int i = 0; i < pipelines.count(); i++) {
                int number = 700_000 + 10 * i;
                world.after(
                        i * pipelines.durationS() / pipelines.count(),
                        () -> region.pipelines.submitRandom(number));
            }
        } else if (fault instanceof Fault.QueryFlood) {
            users.queryMoreOften(until);
        } else if (fault instanceof Fault.LargeArrays arrays) {
            for (int i = 0; i < arrays.count(); i++) {
                int number = 800_000 + largeArrays++;
                world.after(
                        i, () -> region.jobMix.submitGuests(number, arrays.tasks(), arrays.runS()));
            }
        } else {
            return false;
        }
        return true;
    }

    private double downS() {
        return Fault.LeaderCrashes.MIN_DOWN_S
                + world.random.nextDouble()
                        * (Fault.LeaderCrashes.MAX_DOWN_S - Fault.LeaderCrashes.MIN_DOWN_S);
    }

    private void each(Fault.ControllerSelector who, Consumer<Integer> then) {
        for (int node : who.resolve(region.lastLeader(), region.nodeCount())) {
            then.accept(node);
        }
    }

    private void each(Fault.MachineSelector which, Consumer<WorkerStandIn> then) {
        machines.choose(which).forEach(then);
    }

    private void cut(int node, Side side, Way way, double until) {
        String name = "node-" + node;
        String host = "10.0.0." + (node + 1) + ":";
        switch (side) {
            case STATE -> {
                if (way == Way.REFUSE) {
                    region.store.refuse(name, until);
                } else {
                    world.cut(name, "10.2.0.1", until);
                }
            }
            case PEERS -> {
                cut(name, "10.0.0.", way, until);
                cut("node-", host, way, until);
            }
            case WORKERS -> {
                cut(name, "10.1.", way, until);
                cut("host-", host, way, until);
            }
            case USERS -> cut("users", host, way, until);
        }
    }

    private void cut(String from, String to, Way way, double until) {
        if (way == Way.REFUSE) {
            world.refuse(from, to, until);
        } else {
            world.cut(from, to, until);
        }
    }
}
