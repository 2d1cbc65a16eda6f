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
        double until = world.now() + fault.forS();
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
            each(cut.who(), node -> cut(node, Side.STATE, cut.way(), until));
        } else if (fault instanceof Fault.StoreLatency slow) {
            region.storeLink.delayResponses(slow.byS(), until);
        } else if (fault instanceof Fault.DelayedWrites late) {
            region.storeLink.dropTransactionResponses(late.share(), until, late.atOnce());
        } else if (fault instanceof Fault.ReplayedHeartbeats late) {
            region.heartbeatReplays.replayHeartbeats(late.share(), until, late.forNext());
        } else if (fault instanceof Fault.NetworkLatency slow) {
            world.delayMessages(slow.byS(), until);
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
            each(failure.which(), worker -> worker.failReceiving(until));
        } else if (fault instanceof Fault.MachineSendFailure failure) {
            each(failure.which(), worker -> machines.failSending(worker, until));
        } else if (fault instanceof Fault.MachineHang hang) {
            each(hang.which(), worker -> worker.hang(until));
        } else if (fault instanceof Fault.MachinePartition cut) {
            each(
                    cut.which(),
                    worker -> {
                        world.partition(worker.name, "10.", until);
                        world.partition("node-", worker.address, until);
                    });
        } else if (fault instanceof Fault.MachineLoss loss) {
            each(loss.which(), WorkerStandIn::losePower);
        } else if (fault instanceof Fault.MachineReboot reboot) {
            each(reboot.which(), machines::reboot);
        } else if (fault instanceof Fault.DelayedOrders held) {
            each(held.which(), worker -> machines.delayOrders(worker, held.heldS(), until));
        } else if (fault instanceof Fault.QuickBoots) {
            machines.slowBoots(0.3, 0, until);
        } else {
            return false;
        }
        return true;
    }

    /** Controllers. False where the fault is of another kind. */
    private boolean injectIntoControllers(Fault fault, double until) {
        if (fault instanceof Fault.ZonePartition cut) {
            each(
                    cut.inside(),
                    node -> region.networkPartitions.isolateZone(cut.zone(), node, until));
        } else if (fault instanceof Fault.ControllerPartition cut) {
            each(cut.who(), node -> cut.from().forEach(side -> cut(node, side, cut.way(), until)));
        } else if (fault instanceof Fault.ControllerCrash crash) {
            each(crash.who(), node -> region.faults.crash(node, crash.forS()));
        } else if (fault instanceof Fault.LeaderChanges changes) {
            for (int i = 0; i < changes.times(); i++) {
                world.after(
                        i * changes.forS() / changes.times(),
                        () -> region.faults.crash(region.lastLeaderIndex(), downS()));
            }
        } else if (fault instanceof Fault.ControllerPause pause) {
            each(pause.who(), node -> region.faults.pause(node, until));
        } else if (fault instanceof Fault.Upgrade upgrade) {
            new RollingUpgrade(region, region.nodeCount(), upgrade.by()).begin(upgrade);
        } else if (fault instanceof Fault.OperatorCommand asks) {
            region.operator.repeat(asks.command(), until);
        } else if (fault instanceof Fault.Replace replace) {
            each(
                    replace.who(),
                    node -> region.faults.restartAs(node, replace.by(), replace.forS()));
        } else {
            return false;
        }
        return true;
    }

    /** Users and what they ask for. False where the fault is of another kind. */
    private boolean injectIntoUsers(Fault fault, double until) {
        if (fault instanceof Fault.CancelNow cancel) {
            users.cancelRunning(cancel.count(), Fault.CancelNow.WITHIN_S).stream()
                    .limit(cancel.hangS() > 0 ? Fault.CancelNow.MOST_HUNG : 0)
                    .forEach(worker -> worker.hang(world.now() + cancel.hangS()));
        } else if (fault instanceof Fault.CancelAtEnd cancel) {
            users.cancelAtEnd(cancel.share(), until);
        } else if (fault instanceof Fault.ReadAfterWriteChecks) {
            users.checkReadsAfterWrites(until);
        } else if (fault instanceof Fault.InvalidRequests invalid) {
            for (int i = 0; i < invalid.forS() * 4; i++) {
                world.after(i / 4.0, users.invalidRequests::sendOne);
            }
        } else if (fault instanceof Fault.SubmissionFlood flood) {
            int first = 100_000 * ++submissionFloods;
            for (int i = 0; i < flood.perS() * flood.forS(); i++) {
                int number = first + i;
                world.after(i / flood.perS(), () -> region.jobMix.submitSingle(number));
            }
        } else if (fault instanceof Fault.Pipelines pipelines) {
            for (int i = 0; i < pipelines.count(); i++) {
                int number = 700_000 + 10 * i;
                world.after(
                        i * pipelines.forS() / pipelines.count(),
                        () -> region.pipelines.submitAny(number));
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
        return Fault.LeaderChanges.LEAST_DOWN_S
                + world.random.nextDouble()
                        * (Fault.LeaderChanges.MOST_DOWN_S - Fault.LeaderChanges.LEAST_DOWN_S);
    }

    private void each(Fault.ControllerSelector who, Consumer<Integer> then) {
        for (int node : who.of(region.lastLeaderIndex(), region.nodeCount())) {
            then.accept(node);
        }
    }

    private void each(Fault.MachineSelector which, Consumer<WorkerStandIn> then) {
        machines.select(which).forEach(then);
    }

    private void cut(int node, Side side, Way way, double until) {
        String name = "node-" + node;
        String host = "10.0.0." + (node + 1) + ":";
        switch (side) {
            case STATE -> {
                if (way == Way.REFUSE) {
                    region.store.refuseCaller(name, until);
                } else {
                    world.partition(name, "10.2.0.1", until);
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
            world.refuseConnections(from, to, until);
        } else {
            world.partition(from, to, until);
        }
    }
}
