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

/**
 * Finds the machines that are silent, have a receive failure, never came up, are faulty or about to
 * be reclaimed, and releases them. Lives as long as one leadership; confined to the event loop.
 */
public final class FailureDetector {

    /** Of the deadline for a cancellation; the rest is for the cloud to end the machine. */
    private static final double OVERDUE_FRACTION = 0.6;

    /** In heartbeat intervals: a machine that has been silent for longer is probed. */
    private static final double PROBE_INTERVALS = 1.5;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final WorkerClient workers;
    private final Dispatcher.AttemptControl attemptControl;

    /** Loop time until which the silence of a zone's machines is taken for a partition. */
    private final Map<String, Double> partitionedUntil = new HashMap<>();

    /** What one look at all machines has found. */
    private static final class Census {
        /** Machines that are ready or must have been. */
        int machines;

        final Map<String, Integer> machinesPerZone = new HashMap<>();
        final List<Machine> lost = new ArrayList<>();
        final List<Machine> neverReady = new ArrayList<>();
    }

    private boolean stopped;
    private double capacityCheckedAt = Double.NEGATIVE_INFINITY;

    /** Creates the failure detector of one leadership. */
    public FailureDetector(
            ClusterState cluster,
            Dispatcher dispatcher,
            WorkerClient workers,
            Dispatcher.AttemptControl attemptControl) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.workers = workers;
        this.attemptControl = attemptControl;
    }

    /** The leadership has ended: answers to probes change nothing any more. */
    public void stop() {
        stopped = true;
    }

    /**
     * Looks at all machines, and releases those that are lost, faulty, reclaimed or never came up.
     *
     * @return false where none of several machines can be reached: this controller is more likely
     *     cut off than they all dead
     */
    public boolean tick(double now) {
        Census census = new Census();
        for (Machine machine : cluster.fleet().machines()) {
            if (!machine.releasing()) {
                examine(machine, census, now);
            }
        }
        // The cloud ends them whoever is cut off: before the question whether it is this
        // controller.
        releaseOverdue(census.lost, now);
        if (census.machines > 1 && census.lost.size() == census.machines) {
            return false;
        }
        census.lost.removeIf(Machine::releasing);
        recordPartitions(census, now);
        releaseLost(census, now);
        releaseNeverReady(census.neverReady, now);
        return true;
    }

    private void examine(Machine machine, Census census, double now) {
        boolean unreachable = machine.unreachableFor(now) > cluster.heartbeatTimeoutS();
        // One that had long booted when this leader began may be unreachable with the rest of its
        // zone: silent, and not a machine that never came up.
        boolean bootedBefore =
                !machine.ready() && cluster.bootTracker().presumedAlreadyBooted(machine);
        if (machine.ready() || bootedBefore) {
            census.machines++;
            census.machinesPerZone.merge(machine.zone(), 1, Integer::sum);
            if (unreachable) {
                census.lost.add(machine);
            }
        }
        if (machine.ready()) {
            checkMachine(machine, now);
        } else if (!bootedBefore
                && cluster.bootTracker().hasBootTimedOut(machine, now)
                && unreachable) {
            census.neverReady.add(machine);
        }
    }

    /** Probes a machine that is late, and drains and releases one that is faulty or reclaimed. */
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
        if (machine.hasLostFencingToken()) {
            cluster.instanceLifecycle().release(machine, "its worker has begun anew");
        } else if (machine.draining() && machine.idle()) {
            String why = machine.faulty() ? "faulty" : "about to be taken";
            cluster.instanceLifecycle().release(machine, why);
        }
    }

    private void probeAnswered(Optional<Heartbeat> heartbeat) {
        if (!stopped && heartbeat.isPresent()) {
            cluster.fleet().handleDirectResponse(heartbeat.get(), cluster.loop().now());
        }
    }

    private void releaseOverdue(List<Machine> lost, double now) {
        for (Machine machine : lost) {
            if (holdsOverdueCancellation(machine, now)) {
                cluster.instanceLifecycle().release(machine, "silent with a cancelled task");
            }
        }
    }

    private void releaseNeverReady(List<Machine> neverReady, double now) {
        double cancelS = cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        for (Machine machine : neverReady) {
            // Of a partitioned zone nobody can tell what has come up there since.
            if (!isPartitioned(machine.zone(), now) || machine.unreachableFor(now) > cancelS) {
                cluster.instanceLifecycle().release(machine, "never came up");
            }
        }
    }

    private boolean isPartitioned(String zone, double now) {
        return partitionedUntil.getOrDefault(zone, Double.NEGATIVE_INFINITY) > now;
    }

    /**
     * Many machines that are lost at once are more likely partitioned than dead, in one zone or, by
     * this controller's own links, in all.
     */
    private void recordPartitions(Census census, double now) {
        int few = cluster.settings().operators().maxConcurrentUnresponsiveReleases();
        boolean allPartitioned = census.lost.size() > Math.max(few, census.machines / 3);
        Map<String, Integer> lostPerZone = new HashMap<>();
        census.lost.forEach(machine -> lostPerZone.merge(machine.zone(), 1, Integer::sum));
        lostPerZone.forEach(
                (zone, lost) -> {
                    int halfOfZone = census.machinesPerZone.get(zone) / 2;
                    if (allPartitioned || lost > Math.max(few, halfOfZone)) {
                        // When a partition ends its machines come back one by one, each after its
                        // timeout at controllers that it could not reach: those that are still
                        // silent then are not dead yet.
                        partitionedUntil.put(zone, now + cluster.leaseS());
                    }
                });
    }

    /** Releases lost machines, those first that have been unreachable for longest. */
    private void releaseLost(Census census, double now) {
        // A tenth of a large fleet may die at once with a rack; a few at a time would take it
        // minutes to be replaced.
        int maxReleasing =
                Math.max(
                        cluster.settings().operators().maxConcurrentUnresponsiveReleases(),
                        census.machines / 10);
        census.lost.sort(
                Comparator.comparingDouble((Machine machine) -> machine.unreachableFor(now))
                        .reversed());
        for (Machine machine : census.lost) {
            if (cluster.instanceLifecycle().pendingReleaseCount() >= maxReleasing) {
                break;
            }
            if (isLost(machine, isPartitioned(machine.zone(), now), now)) {
                cluster.instanceLifecycle()
                        .release(machine, machine.hasReceiveFailure() ? "does not hear" : "silent");
            }
        }
    }

    /**
     * Whether to release a silent machine. It may only hang, and its tasks with it until their
     * lease expires: to release it earlier pays where replicas can go on elsewhere at once, and
     * costs both work and replicas where they cannot.
     */
    private boolean isLost(Machine machine, boolean partitioned, double now) {
        double leaseS = cluster.leaseS();
        double unreachableS = machine.unreachableFor(now);
        if (partitioned) {
            // A controller inside the partition may renew the leases for that long, and the tasks
            // go on; afterwards all have ended.
            return unreachableS
                    > cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        }
        if (unreachableS > leaseS || machine.idle()) {
            return true;
        }
        if (!machine.holdsReplica()) {
            return unreachableS > leaseS / 2;
        }
        // The answer costs a look at the whole fleet, so it is asked for one machine at a time, a
        // few times an interval; and the replicas of what is being released already must have
        // moved before the free capacity is known.
        if (cluster.instanceLifecycle().pendingReleaseCount() > 0
                || now - capacityCheckedAt < cluster.heartbeatIntervalS() / 8) {
            return false;
        }
        capacityCheckedAt = now;
        return dispatcher.canRelocateReplicas(machine, now);
    }

    /**
     * Whether it may still hold a task that was cancelled so long ago that it must be gone before
     * long: a machine that hangs, unlike one that is partitioned, ends nothing by itself, and both
     * look the same from here, also when it is the whole fleet.
     */
    private boolean holdsOverdueCancellation(Machine machine, double now) {
        double overdueS =
                OVERDUE_FRACTION
                        * cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        return machine.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.live()
                                        && attempt.job.finalStatus() == Status.CANCELLED
                                        && now - attempt.job.lastKnownOpenAt() > overdueS);
    }

    /**
     * A machine that the cloud will reclaim: what takes checkpoints saves its progress in time;
     * what may still complete goes on.
     */
    private void drainReclaimed(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts())) {
            if (attempt.live()
                    && !attempt.stopRequested()
                    && attempt.job.spec.takesCheckpoints()
                    && attempt.running()) {
                attemptControl.stop(attempt, attempt.job.spec.checkpointDurationS());
            }
        }
    }
}
