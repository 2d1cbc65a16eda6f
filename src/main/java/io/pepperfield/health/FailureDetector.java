package io.pepperfield.health;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.jobs.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Machines that say nothing, do not hear, never came up, are faulty or about to be taken. */
public final class FailureDetector {

    /**
     * Of the time that a cancellation may take; the rest is for the cloud to return the machine.
     */
    private static final double OVERDUE_FRACTION = 0.6;

    /** Of a report period: a machine that has been silent for longer is probed. */
    private static final double PROBE_INTERVALS = 1.5;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final WorkerClient workers;
    private final Dispatcher.AttemptControl starter;

    /** Until when the silence of a zone's machines is taken for a cut. */
    private final Map<String, Double> partitionedUntil = new HashMap<>();

    private boolean stopped;
    private double capacityCheckedAt = Double.NEGATIVE_INFINITY;

    /** Creates the failure detector of one term. */
    public FailureDetector(
            ClusterState cluster,
            Dispatcher dispatcher,
            WorkerClient workers,
            Dispatcher.AttemptControl starter) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.workers = workers;
        this.starter = starter;
    }

    /** The term has ended: answers to probes change nothing any more. */
    public void stop() {
        stopped = true;
    }

    /**
     * False where none of several machines can be heard: this node is more likely cut off than they
     * all dead.
     */
    public boolean tick(double now) {
        double silentS = cluster.heartbeatTimeoutS();
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
            boolean before =
                    !machine.ready() && cluster.bootTracker().mustHaveBootedBefore(machine);
            if (machine.ready() || before) {
                up++;
                perZone.merge(machine.zone(), 1, Integer::sum);
                if (machine.unreachableFor(now) > silentS) {
                    lost.add(machine);
                }
            }
            if (machine.ready()) {
                checkMachine(machine, now);
            } else if (!before
                    && cluster.bootTracker().isGivenUp(machine, now)
                    && machine.unreachableFor(now) > silentS) {
                awaited.add(machine);
            }
        }
        // Whoever is cut off, the cloud ends them: before the question whether it is this node.
        releaseOverdue(lost, now);
        if (up > 1 && lost.size() == up) {
            return false;
        }
        lost.removeIf(Machine::releasing);
        releaseLost(lost, up, perZone, now);
        releaseNeverReady(awaited, now);
        return true;
    }

    /** Probes a machine that is late, and empties and returns one that is faulty or taken. */
    private void checkMachine(Machine machine, double now) {
        if (machine.unreachableFor(now) > PROBE_INTERVALS * cluster.heartbeatIntervalS()
                && machine.claimDueProbe(now, cluster.heartbeatIntervalS() / 2)) {
            workers.probe(machine.address(), this::probeAnswered);
        }
        if (!Double.isNaN(machine.reclaimAt())) {
            drainReclaimed(machine);
        }
        if (machine.faulty()) {
            machine.drain();
        }
        if (machine.restarted()) {
            cluster.instanceLifecycle().release(machine, "its worker has begun anew");
        } else if (machine.draining() && machine.idle()) {
            String why = machine.faulty() ? "faulty" : "about to be taken";
            cluster.instanceLifecycle().release(machine, why);
        }
    }

    private void probeAnswered(Optional<Heartbeat> response) {
        if (!stopped && response.isPresent()) {
            cluster.fleet().handleDirectResponse(response.get(), cluster.loop().now());
        }
    }

    private void releaseOverdue(List<Machine> lost, double now) {
        for (Machine machine : lost) {
            if (holdsOverdueCancellation(machine, now)) {
                cluster.instanceLifecycle().release(machine, "silent with a cancelled task");
            }
        }
    }

    private void releaseNeverReady(List<Machine> awaited, double now) {
        double cancelS = cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        for (Machine machine : awaited) {
            // Of a zone that is out of hearing nobody can tell what has come up there since.
            if (!isPartitioned(machine.zone(), now) || machine.unreachableFor(now) > cancelS) {
                cluster.instanceLifecycle().release(machine, "never came up");
            }
        }
    }

    private boolean isPartitioned(String zone, double now) {
        return partitionedUntil.getOrDefault(zone, Double.NEGATIVE_INFINITY) > now;
    }

    private void releaseLost(List<Machine> lost, int up, Map<String, Integer> perZone, double now) {
        // Many at once are more likely a cut than so many deaths, of a zone or of this node's own
        // lines.
        int few = cluster.settings().operators().maxConcurrentSilentReleases();
        boolean allCut = lost.size() > Math.max(few, up / 3);
        Map<String, Integer> lostPerZone = new HashMap<>();
        lost.forEach(machine -> lostPerZone.merge(machine.zone(), 1, Integer::sum));
        lostPerZone.forEach(
                (zone, count) -> {
                    if (allCut || count > Math.max(few, perZone.get(zone) / 2)) {
                        // When a cut ends its machines come back one by one, each after its
                        // patience with nodes it could not reach:
                        // those that are still silent then are no dead among the living.
                        partitionedUntil.put(zone, now + cluster.leaseS());
                    }
                });
        // A tenth of a large fleet may die at once with a rack; three at a time would take it
        // minutes to be replaced.
        int most = Math.max(cluster.settings().operators().maxConcurrentSilentReleases(), up / 10);
        lost.sort(Comparator.comparingDouble((Machine m) -> m.unreachableFor(now)).reversed());
        for (Machine machine : lost) {
            if (cluster.instanceLifecycle().releasing() >= most) {
                break;
            }
            if (isLost(machine, isPartitioned(machine.zone(), now), now)) {
                cluster.instanceLifecycle()
                        .release(machine, machine.hasReceiveFailure() ? "does not hear" : "silent");
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
        double silent = machine.unreachableFor(now);
        if (cut) {
            // A controller inside the cut may keep the leases for that long, and its tasks go on;
            // afterwards all have ended.
            return silent > cluster.settings().deployment().workerTimings().cancellationDeadlineS();
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
        if (cluster.instanceLifecycle().releasing() > 0
                || now - capacityCheckedAt < cluster.heartbeatIntervalS() / 8) {
            return false;
        }
        capacityCheckedAt = now;
        return dispatcher.canRelocateReplicas(machine, now);
    }

    /**
     * Whether it may still hold a task that was cancelled so long ago that it must be gone before
     * long: a machine that hangs, unlike one that is cut off, ends nothing by itself, and both look
     * the same from here, also when it is the whole fleet.
     */
    private boolean holdsOverdueCancellation(Machine machine, double now) {
        double mostS =
                OVERDUE_FRACTION
                        * cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        return machine.attempts().stream()
                .anyMatch(
                        a ->
                                a.live()
                                        && a.job.finalStatus() == Status.CANCELLED
                                        && now - a.job.lastKnownOpenAt() > mostS);
    }

    /**
     * A machine that will be taken: what can save does so in time; what may still complete goes on.
     */
    private void drainReclaimed(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts())) {
            if (attempt.live()
                    && !attempt.stopRequested()
                    && attempt.job.spec.takesCheckpoints()
                    && attempt.running()) {
                starter.stop(attempt, attempt.job.spec.checkpointDurationS());
            }
        }
    }
}
