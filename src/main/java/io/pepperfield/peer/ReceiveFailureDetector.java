package io.pepperfield.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's view of whether each controller receives the heartbeats of its partition. One that
 * other controllers reach and its workers do not has a receive failure (a one-way partition): its
 * workers would be redirected to it again and again, each time with a pause of seconds and no
 * orders. Confined to the event loop.
 */
public final class ReceiveFailureDetector {

    private static final Logger LOG = LoggerFactory.getLogger(ReceiveFailureDetector.class);

    /** So many misrouted machines of one partition at once are no accident of theirs. */
    private static final int MIN_MISROUTED_MACHINES = 2;

    /**
     * Heartbeat intervals until a controller's workers have found it: one at another controller,
     * then the redirect, with the worker's timeout between.
     */
    private static final double DISCOVERY_INTERVALS = 3;

    /** Each new failure doubles the time without a partition, up to so many leases. */
    private static final int MAX_PENALTY_LEASES = 8;

    /** How well one controller receives the heartbeats of its partition; loop times in seconds. */
    private static final class OwnerState {
        double ownsSince = Double.NaN;
        double heardAt = Double.NEGATIVE_INFINITY;
        double receiveFailureUntil = Double.NEGATIVE_INFINITY;
        double penaltyLeases;
        final Map<String, MisroutedMachine> misroutedMachines = new HashMap<>();
    }

    /** A machine whose heartbeats arrive elsewhere, since when and until when. */
    private record MisroutedMachine(double since, double lastSeenAt) {}

    private final double heartbeatIntervalS;
    private final double leaseS;
    private final Map<String, OwnerState> owners = new HashMap<>();

    /** Creates an empty view; both intervals are in seconds. */
    public ReceiveFailureDetector(double heartbeatIntervalS, double leaseS) {
        this.heartbeatIntervalS = heartbeatIntervalS;
        this.leaseS = leaseS;
    }

    /** A heartbeat of a machine in that owner's partition arrived at a controller. */
    public void recordHeartbeat(String machine, String owner, String receivedBy, double now) {
        if (owner.isEmpty()) {
            return;
        }
        OwnerState state = owners.computeIfAbsent(owner, name -> new OwnerState());
        if (owner.equals(receivedBy)) {
            state.heardAt = now;
            state.misroutedMachines.remove(machine);
        } else {
            state.misroutedMachines.merge(
                    machine,
                    new MisroutedMachine(now, now),
                    (known, latest) -> new MisroutedMachine(known.since, now));
        }
    }

    /**
     * Of the live controllers those that are to have a partition; all of them where none would be
     * left.
     */
    public Set<String> eligibleOwners(Set<String> live, double now) {
        Set<String> receiving = new TreeSet<>();
        for (String controller : live) {
            OwnerState owner = owners.computeIfAbsent(controller, name -> new OwnerState());
            if (owner.receiveFailureUntil > now) {
                continue;
            }
            if (Double.isNaN(owner.ownsSince)) {
                owner.ownsSince = now;
            }
            if (detectReceiveFailure(owner, now)) {
                withdrawPartition(controller, owner, now);
            } else {
                if (owner.heardAt > owner.ownsSince
                        && now - owner.ownsSince > MAX_PENALTY_LEASES * leaseS) {
                    owner.penaltyLeases = 0;
                }
                receiving.add(controller);
            }
        }
        owners.forEach(
                (controller, owner) -> {
                    if (!live.contains(controller)) {
                        // It begins anew when it is back: its workers need their time to find it.
                        owner.ownsSince = Double.NaN;
                        owner.misroutedMachines.clear();
                    }
                });
        return receiving.isEmpty() ? live : receiving;
    }

    private void withdrawPartition(String controller, OwnerState owner, double now) {
        owner.penaltyLeases = Math.min(MAX_PENALTY_LEASES, Math.max(1, 2 * owner.penaltyLeases));
        owner.receiveFailureUntil = now + owner.penaltyLeases * leaseS;
        owner.ownsSince = Double.NaN;
        LOG.warn(
                "receive failure: controller={} withoutPartitionS={}: others receive the"
                        + " heartbeats of its partition, it does not",
                controller,
                Math.round(owner.penaltyLeases * leaseS));
        owner.misroutedMachines.clear();
    }

    /** Whether that controller has lost its partition for not receiving its heartbeats. */
    public boolean hasReceiveFailure(String controller, double now) {
        OwnerState owner = owners.get(controller);
        return owner != null && owner.receiveFailureUntil > now;
    }

    /**
     * The workers are refused everywhere for now: until that is over, where they turn up tells
     * nothing.
     */
    public void resetObservations() {
        owners.values()
                .forEach(
                        owner -> {
                            owner.ownsSince = Double.NaN;
                            owner.misroutedMachines.clear();
                        });
    }

    private boolean detectReceiveFailure(OwnerState owner, double now) {
        // A misrouted machine spends most of its time waiting for an answer of its owner; it is
        // seen elsewhere once in a while.
        owner.misroutedMachines.values().removeIf(machine -> now - machine.lastSeenAt > leaseS);
        // New machines turn up anywhere and are redirected after an interval: until then an owner
        // that had none before has received nothing for long, which is no failure.
        double firstMisroutedAt =
                owner.misroutedMachines.values().stream()
                        .mapToDouble(MisroutedMachine::since)
                        .min()
                        .orElse(now);
        double receivingUntil = Math.max(owner.ownsSince, owner.heardAt);
        double silentSince = Math.max(receivingUntil, firstMisroutedAt - heartbeatIntervalS / 2);
        if (now - silentSince <= DISCOVERY_INTERVALS * heartbeatIntervalS) {
            return false;
        }
        // On a small site a partition may be a single machine: it tells as much if it has been
        // misrouted for a while.
        return owner.misroutedMachines.size() >= MIN_MISROUTED_MACHINES
                || owner.misroutedMachines.values().stream()
                        .anyMatch(machine -> machine.lastSeenAt - machine.since > leaseS);
    }
}
