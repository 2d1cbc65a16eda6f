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
 * Detects and releases machines that are unresponsive, have a receive failure, did not boot, are
 * faulty or are about to be reclaimed. One instance serves one leadership; confined to the event
 * loop.
 */
public final class FailureDetector {

    /**
     * Fraction of the cancellation deadline after which a cancelled task on an unresponsive machine
     * is overdue; the remainder leaves time for the cloud to terminate the machine.
     */
    private static final double OVERDUE_FRACTION = 0.6;

    /** Heartbeat intervals after which an unresponsive machine is probed. */
    private static final double PROBE_AFTER_INTERVALS = 1.5;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final WorkerClient workers;
    private final Dispatcher.AttemptControl attemptControl;

    /**
     * Loop time until which unresponsive machines of a zone are considered partitioned, by zone.
     */
    private final Map<String, Double> partitionedUntil = new HashMap<>();

    /** The result of one scan of all machines. */
    private static final class FleetScan {
        /** Number of machines that are ready or must have been ready under an earlier leader. */
        int machines;

        final Map<String, Integer> machinesPerZone = new HashMap<>();
        final List<Machine> lost = new ArrayList<>();
        final List<Machine> neverReady = new ArrayList<>();
    }

    private boolean stopped;
    private double lastCapacityCheckAt = Double.NEGATIVE_INFINITY;

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

    /** Ends the detection with the leadership; later answers to probes are ignored. */
    public void stop() {
        stopped = true;
    }

    /**
     * Scans all machines, and releases those that are lost, faulty, about to be reclaimed or did
     * not boot.
     *
     * @return false if several machines exist and none is reachable: it is more likely that this
     *     controller is isolated than that all of them failed
     */
    public boolean tick(double now) {
        FleetScan scan = new FleetScan();
        for (Machine machine : cluster.fleet().machines()) {
            if (!machine.releasing()) {
                classify(machine, scan, now);
            }
        }
        // Overdue machines are released even if this controller is the one that is isolated: the
        // cloud terminates them in either case.
        releaseOverdue(scan.lost, now);
        if (scan.machines > 1 && scan.lost.size() == scan.machines) {
            return false;
        }
        scan.lost.removeIf(Machine::releasing);
        recordPartitionedZones(scan, now);
        releaseLost(scan, now);
        releaseNeverReady(scan.neverReady, now);
        return true;
    }

    private void classify(Machine machine, FleetScan scan, double now) {
        if (machine.hasContradictoryAttributes()) {
            cluster.instanceLifecycle().release(machine, "contradictory attributes");
            return;
        }
        boolean unreachable = machine.unreachableFor(now) > cluster.heartbeatTimeoutS();
        // A machine that must have booted before this leader was elected may be unreachable
        // together with its zone: it is lost, and not a machine that did not boot.
        boolean mustHaveBooted =
                !machine.ready() && cluster.bootTracker().presumedAlreadyBooted(machine);
        if (machine.ready() || mustHaveBooted) {
            scan.machines++;
            scan.machinesPerZone.merge(machine.zone(), 1, Integer::sum);
            if (unreachable) {
                scan.lost.add(machine);
            }
        }
        if (machine.ready()) {
            checkReadyMachine(machine, now);
        } else if (!mustHaveBooted
                && cluster.bootTracker().hasBootTimedOut(machine, now)
                && unreachable) {
            scan.neverReady.add(machine);
        }
    }

    /**
     * Probes a machine whose heartbeat is overdue, and drains and releases one that is faulty or
     * about to be reclaimed.
     */
    private void checkReadyMachine(Machine machine, double now) {
        if (machine.unreachableFor(now) > PROBE_AFTER_INTERVALS * cluster.heartbeatIntervalS()
                && machine.claimDueProbe(now, cluster.heartbeatIntervalS() / 2)) {
            workers.probe(machine.address(), this::probeAnswered);
        }
        if (!Double.isNaN(machine.reclaimAt())) {
            stopCheckpointedAttempts(machine);
        }
        if (machine.faulty()) {
            machine.drain();
        }
        if (machine.hasLostFencingToken()) {
            cluster.instanceLifecycle().release(machine, "worker restarted");
        } else if (machine.draining() && machine.idle()) {
            String reason = machine.faulty() ? "faulty" : "about to be reclaimed";
            cluster.instanceLifecycle().release(machine, reason);
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
                cluster.instanceLifecycle()
                        .release(machine, "unresponsive with an overdue cancellation");
            }
        }
    }

    private void releaseNeverReady(List<Machine> neverReady, double now) {
        double cancellationDeadlineS =
                cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        for (Machine machine : neverReady) {
            // Machines of a partitioned zone may have booted unnoticed. After the cancellation
            // deadline their leases have expired in any case.
            if (!isPartitioned(machine.zone(), now)
                    || machine.unreachableFor(now) > cancellationDeadlineS) {
                cluster.instanceLifecycle().release(machine, "did not boot");
            }
        }
    }

    private boolean isPartitioned(String zone, double now) {
        return partitionedUntil.getOrDefault(zone, Double.NEGATIVE_INFINITY) > now;
    }

    /**
     * Records the zones that are probably partitioned. Many machines lost at the same time are more
     * likely partitioned than failed, in a single zone or, if this controller's own network is the
     * cause, in all zones.
     */
    private void recordPartitionedZones(FleetScan scan, double now) {
        int partitionThreshold = cluster.settings().operators().maxConcurrentUnresponsiveReleases();
        boolean allZonesPartitioned =
                scan.lost.size() > Math.max(partitionThreshold, scan.machines / 3);
        Map<String, Integer> lostPerZone = new HashMap<>();
        scan.lost.forEach(machine -> lostPerZone.merge(machine.zone(), 1, Integer::sum));
        lostPerZone.forEach(
                (zone, lostInZone) -> {
                    int halfOfZoneMachines = scan.machinesPerZone.get(zone) / 2;
                    if (allZonesPartitioned
                            || lostInZone > Math.max(partitionThreshold, halfOfZoneMachines)) {
                        // After a partition has healed its machines return one by one, each once
                        // its requests to unreachable controllers have timed out. Those that are
                        // still unresponsive meanwhile have not necessarily failed.
                        partitionedUntil.put(zone, now + cluster.leaseS());
                    }
                });
    }

    /** Releases lost machines, longest unreachable first, up to a limit of pending releases. */
    private void releaseLost(FleetScan scan, double now) {
        // A tenth of a large fleet may fail at once with a rack; with the configured limit alone,
        // replacing it would take minutes.
        int maxReleasing =
                Math.max(
                        cluster.settings().operators().maxConcurrentUnresponsiveReleases(),
                        scan.machines / 10);
        scan.lost.sort(
                Comparator.comparingDouble((Machine machine) -> machine.unreachableFor(now))
                        .reversed());
        for (Machine machine : scan.lost) {
            if (cluster.instanceLifecycle().pendingReleaseCount() >= maxReleasing) {
                break;
            }
            if (shouldRelease(machine, isPartitioned(machine.zone(), now), now)) {
                cluster.instanceLifecycle()
                        .release(
                                machine,
                                machine.hasReceiveFailure() ? "receive failure" : "unresponsive");
            }
        }
    }

    /**
     * Whether to release an unresponsive machine. The machine may only hang temporarily, and its
     * tasks with it, until their lease expires. Releasing it earlier is worthwhile if its replicas
     * can continue elsewhere at once; otherwise both work and replicas are lost.
     */
    private boolean shouldRelease(Machine machine, boolean partitioned, double now) {
        double leaseS = cluster.leaseS();
        double unreachableS = machine.unreachableFor(now);
        if (partitioned) {
            // A controller inside the partition may renew leases up to the cancellation deadline,
            // so that tasks keep running; afterwards all of them have ended.
            return unreachableS
                    > cluster.settings().deployment().workerTimings().cancellationDeadlineS();
        }
        if (unreachableS > leaseS || machine.idle()) {
            return true;
        }
        if (!machine.holdsReplica()) {
            return unreachableS > leaseS / 2;
        }
        // The check scans the whole fleet, so it runs for one machine at a time and at most eight
        // times per heartbeat interval. While other machines are being released their replicas have
        // not been relocated yet, so the free capacity is unknown.
        if (cluster.instanceLifecycle().pendingReleaseCount() > 0
                || now - lastCapacityCheckAt < cluster.heartbeatIntervalS() / 8) {
            return false;
        }
        lastCapacityCheckAt = now;
        return dispatcher.canRelocateReplicas(machine, now);
    }

    /**
     * Whether the machine may still hold a task whose cancellation deadline is close. A machine
     * that hangs does not end its tasks when the lease expires, unlike one that is partitioned; the
     * leader cannot distinguish the two, even if the whole fleet is affected.
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
                                        && now - attempt.job.lastKnownActiveAt() > overdueS);
    }

    /**
     * Prepares a machine that the cloud will reclaim: attempts that take checkpoints are stopped so
     * that they save their progress in time; the others continue, as they may still complete.
     */
    private void stopCheckpointedAttempts(Machine machine) {
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
