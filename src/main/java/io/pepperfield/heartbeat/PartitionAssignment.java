package io.pepperfield.heartbeat;

import io.pepperfield.config.Settings;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.Partitions;
import io.pepperfield.peer.ReceiveFailureDetector;
import java.util.Set;

/**
 * The leader's view of which controllers own a partition of the machines, and which of them receive
 * the heartbeats of their partition. Confined to the event loop.
 */
public final class PartitionAssignment {

    private final Settings settings;
    private final Membership membership;
    private ReceiveFailureDetector reachability;

    /** Creates the assignment as it is before any heartbeat. */
    public PartitionAssignment(Settings settings, Membership membership) {
        this.settings = settings;
        this.membership = membership;
        reset();
    }

    /** A new leadership begins, to which earlier observations mean nothing. */
    void reset() {
        Settings.WorkerTimings timings = settings.deployment().workerTimings();
        reachability = new ReceiveFailureDetector(timings.heartbeatIntervalS(), timings.leaseS());
    }

    /** The controllers that own a partition. */
    public Set<String> owners(double now) {
        return reachability.eligibleOwners(membership.liveMembers(now), now);
    }

    /** Whether that controller gets no heartbeats although workers reach others. */
    public boolean hasReceiveFailure(String controller, double now) {
        return reachability.hasReceiveFailure(controller, now);
    }

    /** Whether this controller gets no heartbeats although workers reach others. */
    boolean hasLocalReceiveFailure(double now) {
        return hasReceiveFailure(settings.node(), now);
    }

    /** A heartbeat of the machine arrived at this controller. */
    void recordLocalHeartbeat(String machine, Set<String> owners, double now) {
        recordHeartbeat(machine, owners, settings.node(), now);
    }

    /** A heartbeat of the machine arrived at that controller. */
    void recordHeartbeat(String machine, Set<String> owners, String receivedBy, double now) {
        reachability.recordHeartbeat(machine, Partitions.owner(machine, owners), receivedBy, now);
    }

    /** Workers are refused everywhere for now, so that where they turn up tells nothing. */
    void resetObservations() {
        reachability.resetObservations();
    }
}
