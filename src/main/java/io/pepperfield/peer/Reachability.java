package io.pepperfield.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's view of whether each controller hears the workers of its partition. One that other
 * controllers reach and its workers do not would have them sent home to it again and again, each
 * time with a pause of seconds and no orders.
 */
public final class Reachability {

    private static final Logger LOG = LoggerFactory.getLogger(Reachability.class);

    /** So many strays of one partition at once are no accident of theirs. */
    private static final int MIN_MISROUTED_MACHINES = 2;

    /**
     * Periods until a controller's workers have found it: a period at another one, then home, with
     * its patience between.
     */
    private static final double DISCOVERY_INTERVALS = 3;

    /** Each new failure doubles the time without a partition, up to so many leases. */
    private static final int MAX_PENALTY_LEASES = 8;

    /** How well one controller hears the workers of its partition. */
    private static final class OwnerState {
        double ownsSince = Double.NaN;
        double heardAt = Double.NEGATIVE_INFINITY;
        double receiveFailureUntil = Double.NEGATIVE_INFINITY;
        double penaltyLeases;
        final Map<String, MisroutedMachine> misroutedMachines = new HashMap<>();
    }

    /** A machine that reports elsewhere, since when and until when. */
    private record MisroutedMachine(double since, double lastSeenAt) {}

    private final double heartbeatIntervalS;
    private final double leaseS;
    private final Map<String, OwnerState> owners = new HashMap<>();

    /** Creates an empty view; both intervals are in seconds. */
    public Reachability(double reportS, double leaseS) {
        this.heartbeatIntervalS = reportS;
        this.leaseS = leaseS;
    }

    /** A report of a machine in that owner's partition came through a controller. */
    public void recordHeartbeat(String machine, String owner, String through, double now) {
        if (owner.isEmpty()) {
            return;
        }
        OwnerState its = owners.computeIfAbsent(owner, o -> new OwnerState());
        if (owner.equals(through)) {
            its.heardAt = now;
            its.misroutedMachines.remove(machine);
        } else {
            its.misroutedMachines.merge(
                    machine,
                    new MisroutedMachine(now, now),
                    (known, news) -> new MisroutedMachine(known.since, now));
        }
    }

    /**
     * Of the live controllers those that are to have a partition; all of them where none would be
     * left.
     */
    public Set<String> owners(Set<String> live, double now) {
        Set<String> hearing = new TreeSet<>();
        for (String node : live) {
            OwnerState owner = owners.computeIfAbsent(node, o -> new OwnerState());
            if (owner.receiveFailureUntil > now) {
                continue;
            }
            if (Double.isNaN(owner.ownsSince)) {
                owner.ownsSince = now;
            }
            if (detectReceiveFailure(owner, now)) {
                owner.penaltyLeases =
                        Math.min(MAX_PENALTY_LEASES, Math.max(1, 2 * owner.penaltyLeases));
                owner.receiveFailureUntil = now + owner.penaltyLeases * leaseS;
                owner.ownsSince = Double.NaN;
                LOG.warn(
                        "{} hears no worker of its partition while others do: they take it for {} s",
                        node,
                        Math.round(owner.penaltyLeases * leaseS));
                owner.misroutedMachines.clear();
            } else {
                if (owner.heardAt > owner.ownsSince
                        && now - owner.ownsSince > MAX_PENALTY_LEASES * leaseS) {
                    owner.penaltyLeases = 0;
                }
                hearing.add(node);
            }
        }
        owners.forEach(
                (node, owner) -> {
                    if (!live.contains(node)) {
                        // It begins anew when it is back: its workers need their time to find it.
                        owner.ownsSince = Double.NaN;
                        owner.misroutedMachines.clear();
                    }
                });
        return hearing.isEmpty() ? live : hearing;
    }

    /** Whether that controller is without a partition for not hearing its workers. */
    public boolean hasReceiveFailure(String node, double now) {
        OwnerState owner = owners.get(node);
        return owner != null && owner.receiveFailureUntil > now;
    }

    /**
     * The workers are refused everywhere for now: until that is over, where they turn up tells
     * nothing.
     */
    public void restartObservation() {
        owners.values()
                .forEach(
                        owner -> {
                            owner.ownsSince = Double.NaN;
                            owner.misroutedMachines.clear();
                        });
    }

    private boolean detectReceiveFailure(OwnerState owner, double now) {
        // A stray spends most of its time waiting for an answer at home; it is seen elsewhere once
        // in a while.
        owner.misroutedMachines.values().removeIf(stray -> now - stray.lastSeenAt > leaseS);
        // New machines turn up anywhere and are sent home after a period: until then an owner that
        // had none before has
        // heard nobody for long, and is not deaf for it.
        double firstStray =
                owner.misroutedMachines.values().stream()
                        .mapToDouble(MisroutedMachine::since)
                        .min()
                        .orElse(now);
        if (now
                        - Math.max(
                                Math.max(owner.ownsSince, owner.heardAt),
                                firstStray - heartbeatIntervalS / 2)
                <= DISCOVERY_INTERVALS * heartbeatIntervalS) {
            return false;
        }
        // On a small site a partition may be a single machine: it tells as much if it has strayed
        // for a while.
        return owner.misroutedMachines.size() >= MIN_MISROUTED_MACHINES
                || owner.misroutedMachines.values().stream()
                        .anyMatch(stray -> stray.lastSeenAt - stray.since > leaseS);
    }
}
