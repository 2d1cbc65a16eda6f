package io.pepperfield.standin;

import io.pepperfield.standin.Trouble.Side;
import io.pepperfield.standin.Trouble.Way;
import java.util.function.Consumer;

/** Makes the troubles of a scenario happen in a region. */
final class TroublePlayer {

    private final Region region;
    private final SimWorld world;
    private final SimMachines machines;
    private final SimUsers users;
    private int swarms;
    private int largeArrays;

    TroublePlayer(Region region, SimMachines machines, SimUsers users) {
        this.region = region;
        this.world = region.world;
        this.machines = machines;
        this.users = users;
    }

    void begin(Trouble trouble) {
        double until = world.now() + trouble.forS();
        boolean begun =
                beginForServices(trouble, until)
                        || beginForMachines(trouble, until)
                        || beginForControllers(trouble, until)
                        || beginForUsers(trouble, until);
        if (!begun) {
            throw new IllegalArgumentException(trouble.toString());
        }
    }

    /**
     * The state service, the cloud, and the network between all. False where the trouble is of
     * another kind.
     */
    private boolean beginForServices(Trouble trouble, double until) {
        if (trouble instanceof Trouble.StateOutage) {
            region.stateOutage(until);
        } else if (trouble instanceof Trouble.CloudOutage) {
            region.cloudOutage(until);
        } else if (trouble instanceof Trouble.StateCut cut) {
            each(cut.who(), node -> cut(node, Side.STATE, cut.way(), until));
        } else if (trouble instanceof Trouble.StateSlow slow) {
            region.stateLink.slow(slow.byS(), until);
        } else if (trouble instanceof Trouble.LateWrites late) {
            region.stateLink.late(late.share(), until, late.atOnce());
        } else if (trouble instanceof Trouble.LateReports late) {
            region.copies.copy(late.share(), until, late.forNext());
        } else if (trouble instanceof Trouble.SlowLinks slow) {
            world.slow(slow.byS(), until);
        } else if (trouble instanceof Trouble.LimitsFall) {
            region.limitsFall();
        } else if (trouble instanceof Trouble.GrantsRefused) {
            region.refuseGrants(until);
        } else {
            return false;
        }
        return true;
    }

    /** Machines and their workers. False where the trouble is of another kind. */
    private boolean beginForMachines(Trouble trouble, double until) {
        if (trouble instanceof Trouble.MachineDeaf deaf) {
            each(deaf.which(), worker -> worker.deafen(until));
        } else if (trouble instanceof Trouble.MachineMute mute) {
            each(mute.which(), worker -> machines.mute(worker, until));
        } else if (trouble instanceof Trouble.MachineHang hang) {
            each(hang.which(), worker -> worker.hang(until));
        } else if (trouble instanceof Trouble.MachineCut cut) {
            each(
                    cut.which(),
                    worker -> {
                        world.cut(worker.name, "10.", until);
                        world.cut("node-", worker.address, until);
                    });
        } else if (trouble instanceof Trouble.MachineDie die) {
            each(die.which(), WorkerStandIn::die);
        } else if (trouble instanceof Trouble.MachineReboot reboot) {
            each(reboot.which(), machines::reboot);
        } else if (trouble instanceof Trouble.CommandsHeld held) {
            each(held.which(), worker -> machines.holdCommands(worker, held.heldS(), until));
        } else if (trouble instanceof Trouble.QuickBoots) {
            machines.boots(0.3, 0, until);
        } else {
            return false;
        }
        return true;
    }

    /** Controllers. False where the trouble is of another kind. */
    private boolean beginForControllers(Trouble trouble, double until) {
        if (trouble instanceof Trouble.ZoneCut cut) {
            each(cut.inside(), node -> region.cuts.zone(cut.zone(), node, until));
        } else if (trouble instanceof Trouble.NodeCut cut) {
            each(cut.who(), node -> cut.from().forEach(side -> cut(node, side, cut.way(), until)));
        } else if (trouble instanceof Trouble.NodeCrash crash) {
            each(crash.who(), node -> region.crash(node, crash.forS()));
        } else if (trouble instanceof Trouble.LeaderChanges changes) {
            for (int i = 0; i < changes.times(); i++) {
                world.after(
                        i * changes.forS() / changes.times(),
                        () -> region.crash(region.lastLeader(), downS()));
            }
        } else if (trouble instanceof Trouble.NodeFreeze freeze) {
            each(freeze.who(), node -> region.freeze(node, until));
        } else if (trouble instanceof Trouble.Upgrade upgrade) {
            new RollingUpgrade(region, region.nodeCount(), upgrade.by()).begin(upgrade);
        } else if (trouble instanceof Trouble.OperatorAsks asks) {
            region.operator.repeat(asks.command(), until);
        } else if (trouble instanceof Trouble.Replace replace) {
            each(replace.who(), node -> region.replace(node, replace.by(), replace.forS()));
        } else {
            return false;
        }
        return true;
    }

    /** Users and what they ask for. False where the trouble is of another kind. */
    private boolean beginForUsers(Trouble trouble, double until) {
        if (trouble instanceof Trouble.CancelNow cancel) {
            users.cancelRunning(cancel.count(), Trouble.CancelNow.WITHIN_S).stream()
                    .limit(cancel.hangS() > 0 ? Trouble.CancelNow.MOST_HUNG : 0)
                    .forEach(worker -> worker.hang(world.now() + cancel.hangS()));
        } else if (trouble instanceof Trouble.CancelAtEnd cancel) {
            users.cancelAtEnd(cancel.share(), until);
        } else if (trouble instanceof Trouble.ReadAfterWriteChecks) {
            users.checkReadsAfterWrites(until);
        } else if (trouble instanceof Trouble.InvalidRequests invalid) {
            for (int i = 0; i < invalid.forS() * 4; i++) {
                world.after(i / 4.0, users::invalidRequest);
            }
        } else if (trouble instanceof Trouble.Swarm swarm) {
            int first = 100_000 * ++swarms;
            for (int i = 0; i < swarm.perS() * swarm.forS(); i++) {
                int number = first + i;
                world.after(i / swarm.perS(), () -> region.jobs.submitSingle(number));
            }
        } else if (trouble instanceof Trouble.Pipelines pipelines) {
            for (int i = 0; i < pipelines.count(); i++) {
                int number = 700_000 + 10 * i;
                world.after(
                        i * pipelines.forS() / pipelines.count(),
                        () -> region.pipelines.submitAny(number));
            }
        } else if (trouble instanceof Trouble.ManyQuestions) {
            users.askMore(until);
        } else if (trouble instanceof Trouble.LargeArrays arrays) {
            for (int i = 0; i < arrays.count(); i++) {
                int number = 800_000 + largeArrays++;
                world.after(
                        i, () -> region.jobs.submitGuests(number, arrays.tasks(), arrays.runS()));
            }
        } else {
            return false;
        }
        return true;
    }

    private double downS() {
        return Trouble.LeaderChanges.LEAST_DOWN_S
                + world.random.nextDouble()
                        * (Trouble.LeaderChanges.MOST_DOWN_S - Trouble.LeaderChanges.LEAST_DOWN_S);
    }

    private void each(Trouble.Controllers who, Consumer<Integer> then) {
        for (int node : who.of(region.lastLeader(), region.nodeCount())) {
            then.accept(node);
        }
    }

    private void each(Trouble.Machines which, Consumer<WorkerStandIn> then) {
        machines.choose(which).forEach(then);
    }

    private void cut(int node, Side side, Way way, double until) {
        String name = "node-" + node;
        String host = "10.0.0." + (node + 1) + ":";
        switch (side) {
            case STATE -> {
                if (way == Way.REFUSE) {
                    region.state.refuse(name, until);
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
