package io.pepperfield.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects, on the leader, controllers that do not receive the heartbeats of their partition. A
 * controller that other controllers can reach but its workers cannot has a receive failure (a
 * one-way network partition). As long as it owned a partition, its workers would be redirected to
 * it repeatedly, each time losing seconds without receiving orders. Confined to the event loop.
 */
public final class ReceiveFailureDetector {

    private static final Logger LOG = LoggerFactory.getLogger(ReceiveFailureDetector.class);

    /**
     * Number of simultaneously misrouted machines from which the fault lies with the partition
     * owner and not with a single machine.
     */
    private static final int MIN_MISROUTED_MACHINES = 2;

    /**
     * Heartbeat intervals that workers need to find their controller: one at another controller,
     * then the worker timeout and the redirect.
     */
    private static final double DISCOVERY_INTERVALS = 3;

    /**
     * Maximum time without a partition, in leases; each further failure doubles the time up to
     * this.
     */
    private static final int MAX_PENALTY_LEASES = 8;

    /** Observations of one controller as a partition owner; loop times in seconds. */
    private static final class OwnerState {
        double ownerSince = Double.NaN;
        double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
        double withoutPartitionUntil = Double.NEGATIVE_INFINITY;
        double penaltyInLeases;
        final Map<String, MisroutedMachine> misroutedMachines = new HashMap<>();
    }

    /**
     * A machine whose heartbeats arrive at a controller other than its partition owner, with the
     * loop times of the first and the last of them.
     */
    private record MisroutedMachine(double since, double lastSeenAt) {}

    private final double heartbeatIntervalS;
    private final double leaseS;
    private final Map<String, OwnerState> owners = new HashMap<>();

    /** Creates a detector without observations; both parameters are in seconds. */
    public ReceiveFailureDetector(double heartbeatIntervalS, double leaseS) {
        this.heartbeatIntervalS = heartbeatIntervalS;
        this.leaseS = leaseS;
    }

    /** Records that a heartbeat of a machine in the owner's partition arrived at a controller. */
    public void recordHeartbeat(String machine, String owner, String receivedBy, double now) {
        if (owner.isEmpty()) {
            return;
        }
        OwnerState state = owners.computeIfAbsent(owner, name -> new OwnerState());
        if (owner.equals(receivedBy)) {
            state.lastHeartbeatAt = now;
            state.misroutedMachines.remove(machine);
        } else {
            state.misroutedMachines.merge(
                    machine,
                    new MisroutedMachine(now, now),
                    (existing, latest) -> new MisroutedMachine(existing.since, now));
        }
    }

    /**
     * Updates the detection and returns the live controllers that may own a partition: those
     * without a receive failure, or all of them if every one has a failure.
     */
    public Set<String> eligibleOwners(Set<String> liveControllers, double now) {
        Set<String> eligible = new TreeSet<>();
        for (String controller : liveControllers) {
            OwnerState owner = owners.computeIfAbsent(controller, name -> new OwnerState());
            if (owner.withoutPartitionUntil > now) {
                continue;
            }
            if (Double.isNaN(owner.ownerSince)) {
                owner.ownerSince = now;
            }
            if (detectReceiveFailure(owner, now)) {
                withdrawPartition(controller, owner, now);
            } else {
                if (owner.lastHeartbeatAt > owner.ownerSince
                        && now - owner.ownerSince > MAX_PENALTY_LEASES * leaseS) {
                    owner.penaltyInLeases = 0;
                }
                eligible.add(controller);
            }
        }
        owners.forEach(
                (controller, owner) -> {
                    if (!liveControllers.contains(controller)) {
                        // When it is live again its observation restarts, since its workers need
                        // time to find it.
                        owner.ownerSince = Double.NaN;
                        owner.misroutedMachines.clear();
                    }
                });
        return eligible.isEmpty() ? liveControllers : eligible;
    }

    private void withdrawPartition(String controller, OwnerState owner, double now) {
        owner.penaltyInLeases =
                Math.min(MAX_PENALTY_LEASES, Math.max(1, 2 * owner.penaltyInLeases));
        owner.withoutPartitionUntil = now + owner.penaltyInLeases * leaseS;
        owner.ownerSince = Double.NaN;
        LOG.warn(
                "receive failure: controller={} withoutPartitionS={}: heartbeats of its"
                        + " partition arrive at other controllers only",
                controller,
                Math.round(owner.penaltyInLeases * leaseS));
        owner.misroutedMachines.clear();
    }

    /** Whether the controller is currently without a partition because of a receive failure. */
    public boolean hasReceiveFailure(String controller, double now) {
        OwnerState owner = owners.get(controller);
        return owner != null && owner.withoutPartitionUntil > now;
    }

    /**
     * Discards all observations while workers are refused by every controller, since which
     * controller they then try is no evidence of a failure. Running penalties remain.
     */
    public void resetObservations() {
        owners.values()
                .forEach(
                        owner -> {
                            owner.ownerSince = Double.NaN;
                            owner.misroutedMachines.clear();
                        });
    }

    private boolean detectReceiveFailure(OwnerState owner, double now) {
        // A misrouted machine spends most of its time waiting for its owner to answer, so its
        // heartbeats reach other controllers only occasionally; an entry is kept for a lease.
        owner.misroutedMachines.values().removeIf(machine -> now - machine.lastSeenAt > leaseS);
        // New machines contact any controller and are redirected after a heartbeat interval. An
        // owner whose partition was empty until then has received no heartbeats for long, which is
        // no failure; so the time without heartbeats starts with the first misrouted one.
        double firstMisroutedAt =
                owner.misroutedMachines.values().stream()
                        .mapToDouble(MisroutedMachine::since)
                        .min()
                        .orElse(now);
        double lastHeartbeatOrStart = Math.max(owner.ownerSince, owner.lastHeartbeatAt);
        double noHeartbeatSince =
                Math.max(lastHeartbeatOrStart, firstMisroutedAt - heartbeatIntervalS / 2);
        if (now - noHeartbeatSince <= DISCOVERY_INTERVALS * heartbeatIntervalS) {
            return false;
        }
        // In a small cluster a partition may consist of a single machine, which is sufficient
        // evidence once it has been misrouted for longer than a lease.
        return owner.misroutedMachines.size() >= MIN_MISROUTED_MACHINES
                || owner.misroutedMachines.values().stream()
                        .anyMatch(machine -> machine.lastSeenAt - machine.since > leaseS);
    }
}
