package io.pepperfield.node;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Report;
import io.pepperfield.fleet.Workers;
import io.pepperfield.jobs.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Machines that say nothing, do not hear, never came up, are faulty or about to be taken. */
final class FailureDetector {

    /**
     * Of the time that a cancellation may take; the rest is for the cloud to return the machine.
     */
    private static final double OVERDUE = 0.6;

    /** Of a report period: a machine that has been silent for longer is probed. */
    private static final double PROBE = 1.5;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final Workers workers;
    private final Dispatcher.Starter starter;

    /** Until when the silence of a zone's machines is taken for a cut. */
    private final Map<String, Double> cutUntil = new HashMap<>();

    private boolean stopped;
    private double askedForRoomAt = Double.NEGATIVE_INFINITY;

    FailureDetector(
            ClusterState cluster,
            Dispatcher dispatcher,
            Workers workers,
            Dispatcher.Starter starter) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.workers = workers;
        this.starter = starter;
    }

    void stop() {
        stopped = true;
    }

    /**
     * False where none of several machines can be heard: this node is more likely cut off than they
     * all dead.
     */
    boolean tick(double now) {
        double silentS = cluster.silentS();
        List<Machine> lost = new ArrayList<>();
        List<Machine> awaited = new ArrayList<>();
        int up = 0;
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.releasing()) {
                continue;
            }
            // One that had long booted when this leader began may be out of hearing with the rest
            // of its zone: silent, and
            // not a machine that never came up.
            boolean before = !machine.up() && cluster.boots().longBooted(machine);
            if (machine.up() || before) {
                up++;
                perZone.merge(machine.zone(), 1, Integer::sum);
                if (machine.lostFor(now) > silentS) {
                    lost.add(machine);
                }
            }
            if (machine.up()) {
                check(machine, now);
            } else if (!before
                    && cluster.boots().givenUp(machine, now)
                    && machine.lostFor(now) > silentS) {
                awaited.add(machine);
            }
        }
        // Whoever is cut off, the cloud ends them: before the question whether it is this node.
        releaseOverdue(lost, now);
        if (up > 1 && lost.size() == up) {
            return false;
        }
        lost.removeIf(Machine::releasing);
        giveUp(lost, up, perZone, now);
        releaseAwaited(awaited, now);
        return true;
    }

    /** Probes a machine that is late, and empties and returns one that is faulty or taken. */
    private void check(Machine machine, double now) {
        if (machine.lostFor(now) > PROBE * cluster.reportS()
                && machine.dueForProbe(now, cluster.reportS() / 2)) {
            workers.probe(machine.address(), this::probed);
        }
        if (!Double.isNaN(machine.takenAt())) {
            drainTaken(machine);
        }
        if (machine.faulty()) {
            machine.drain();
        }
        if (machine.reborn()) {
            cluster.renting().release(machine, "its worker has begun anew");
        } else if (machine.draining() && machine.idle()) {
            String why = machine.faulty() ? "faulty" : "about to be taken";
            cluster.renting().release(machine, why);
        }
    }

    private void probed(Report report) {
        if (!stopped && report != null) {
            cluster.fleet().heard(report, cluster.loop().now());
        }
    }

    private void releaseOverdue(List<Machine> lost, double now) {
        for (Machine machine : lost) {
            if (holdsOverdue(machine, now)) {
                cluster.renting().release(machine, "silent with a cancelled task");
            }
        }
    }

    private void releaseAwaited(List<Machine> awaited, double now) {
        double cancelS = cluster.settings().deployment().workers().cancelS();
        for (Machine machine : awaited) {
            // Of a zone that is out of hearing nobody can tell what has come up there since.
            if (!cut(machine.zone(), now) || machine.lostFor(now) > cancelS) {
                cluster.renting().release(machine, "never came up");
            }
        }
    }

    private boolean cut(String zone, double now) {
        return cutUntil.getOrDefault(zone, Double.NEGATIVE_INFINITY) > now;
    }

    private void giveUp(List<Machine> lost, int up, Map<String, Integer> perZone, double now) {
        // Many at once are more likely a cut than so many deaths, of a zone or of this node's own
        // lines.
        int few = cluster.settings().operators().silentAtOnce();
        boolean allCut = lost.size() > Math.max(few, up / 3);
        Map<String, Integer> lostPerZone = new HashMap<>();
        lost.forEach(machine -> lostPerZone.merge(machine.zone(), 1, Integer::sum));
        lostPerZone.forEach(
                (zone, count) -> {
                    if (allCut || count > Math.max(few, perZone.get(zone) / 2)) {
                        // When a cut ends its machines come back one by one, each after its
                        // patience with nodes it could not reach:
                        // those that are still silent then are no dead among the living.
                        cutUntil.put(zone, now + cluster.leaseS());
                    }
                });
        // A tenth of a large fleet may die at once with a rack; three at a time would take it
        // minutes to be replaced.
        int most = Math.max(cluster.settings().operators().silentAtOnce(), up / 10);
        lost.sort(Comparator.comparingDouble((Machine m) -> m.lostFor(now)).reversed());
        for (Machine machine : lost) {
            if (cluster.renting().releasing() >= most) {
                break;
            }
            if (isLost(machine, cut(machine.zone(), now), now)) {
                cluster.renting().release(machine, machine.deaf() ? "does not hear" : "silent");
            }
        }
    }

    /**
     * Whether to give a silent machine up. It may only hang, and its tasks with it until their
     * lease ends: to return it earlier pays where replicas can go on elsewhere at once, and costs
     * both work and replicas where they cannot.
     */
    private boolean isLost(Machine machine, boolean cut, double now) {
        double leaseS = cluster.leaseS();
        double silent = machine.lostFor(now);
        if (cut) {
            // A controller inside the cut may keep the leases for that long, and its tasks go on;
            // afterwards all have ended.
            return silent > cluster.settings().deployment().workers().cancelS();
        }
        if (silent > leaseS || machine.idle()) {
            return true;
        }
        if (!machine.holdsReplica()) {
            return silent > leaseS / 2;
        }
        // The question costs a look at the whole fleet, so it is put for one machine at a time, a
        // few times a period; and
        // what is being returned already must have moved before the room left is known.
        if (cluster.renting().releasing() > 0 || now - askedForRoomAt < cluster.reportS() / 8) {
            return false;
        }
        askedForRoomAt = now;
        return dispatcher.roomForReplicasOf(machine, now);
    }

    /**
     * Whether it may still hold a task that was cancelled so long ago that it must be gone before
     * long: a machine that hangs, unlike one that is cut off, ends nothing by itself, and both look
     * the same from here, also when it is the whole fleet.
     */
    private boolean holdsOverdue(Machine machine, double now) {
        double mostS = OVERDUE * cluster.settings().deployment().workers().cancelS();
        return machine.attempts().stream()
                .anyMatch(
                        a ->
                                a.live()
                                        && a.job.end() == Status.CANCELLED
                                        && now - a.job.openAsOf() > mostS);
    }

    /**
     * A machine that will be taken: what can save does so in time; what may still complete goes on.
     */
    private void drainTaken(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts())) {
            if (attempt.live()
                    && !attempt.stopWanted()
                    && attempt.job.spec.saves()
                    && attempt.running()) {
                starter.stop(attempt, attempt.job.spec.checkpointS());
            }
        }
    }
}
