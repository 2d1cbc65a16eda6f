package io.pepperfield.heartbeat;

import io.pepperfield.config.Settings;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.Partitions;
import io.pepperfield.peer.ReceiveFailureDetector;
import java.util.Set;

/**
 * The leader's view of which controllers own a partition of the machines, and which of them do not
 * receive its heartbeats. Confined to the event loop.
 */
public final class PartitionAssignment {

    private final Settings settings;
    private final Membership membership;
    private ReceiveFailureDetector receiveFailures;

    /** Creates an assignment without observations. */
    public PartitionAssignment(Settings settings, Membership membership) {
        this.settings = settings;
        this.membership = membership;
        reset();
    }

    /** Discards all observations and penalties; called when a new leadership starts. */
    void reset() {
        Settings.WorkerTimings timings = settings.deployment().workerTimings();
        receiveFailures =
                new ReceiveFailureDetector(timings.heartbeatIntervalS(), timings.leaseS());
    }

    /** The controllers that own a partition. */
    public Set<String> owners(double now) {
        return receiveFailures.eligibleOwners(membership.liveMembers(now), now);
    }

    /** Whether heartbeats of the controller's partition reach other controllers only. */
    public boolean hasReceiveFailure(String controller, double now) {
        return receiveFailures.hasReceiveFailure(controller, now);
    }

    /** Whether heartbeats of this controller's partition reach other controllers only. */
    boolean hasLocalReceiveFailure(double now) {
        return hasReceiveFailure(settings.node(), now);
    }

    /** Records that a heartbeat of the machine arrived at this controller. */
    void recordLocalHeartbeat(String machine, Set<String> owners, double now) {
        recordHeartbeat(machine, owners, settings.node(), now);
    }

    /** Records that a heartbeat of the machine arrived at the given controller. */
    void recordHeartbeat(String machine, Set<String> owners, String receivedBy, double now) {
        receiveFailures.recordHeartbeat(
                machine, Partitions.owner(machine, owners), receivedBy, now);
    }

    /** Discards observations; see {@link ReceiveFailureDetector#resetObservations}. */
    void resetObservations() {
        receiveFailures.resetObservations();
    }
}
