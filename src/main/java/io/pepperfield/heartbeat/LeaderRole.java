package io.pepperfield.heartbeat;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Answers the heartbeats that workers send to the leading controller itself. */
final class LeaderRole {

    private final Leadership leadership;
    private final HeartbeatForwarder forwarder;
    private final ReplicaSynchronizer synchronizer;
    private final LeaseRenewalPolicy leaseRenewal;
    private final IsolationDetector isolation;
    private final PartitionAssignment partitions;
    private final MisroutedMachines misroutedMachines;
    private final LeaderlessRole leaderlessRole;
    private final WarnOnceLogger logOnce;

    /** Empty while this controller does not lead, or has not recovered its state yet. */
    private Optional<LeaderHeartbeatReceiver> leader = Optional.empty();

    /**
     * @param leaderlessRole answers after the election until the state is recovered
     */
    LeaderRole(
            ClusterLinks links,
            LeaseRenewalPolicy leaseRenewal,
            IsolationDetector isolation,
            PartitionAssignment partitions,
            MisroutedMachines misroutedMachines,
            LeaderlessRole leaderlessRole,
            WarnOnceLogger logOnce) {
        this.leadership = links.leadership();
        this.forwarder = links.forwarder();
        this.synchronizer = links.synchronizer();
        this.leaseRenewal = leaseRenewal;
        this.isolation = isolation;
        this.partitions = partitions;
        this.misroutedMachines = misroutedMachines;
        this.leaderlessRole = leaderlessRole;
        this.logOnce = logOnce;
    }

    /** A leadership has recovered its state. */
    void leadershipStarted(LeaderHeartbeatReceiver newLeader) {
        leader = Optional.of(newLeader);
        partitions.reset();
    }

    /** The leadership has ended. */
    void leadershipEnded() {
        leader = Optional.empty();
    }

    /** The leader, once it has recovered its state. */
    Optional<LeaderHeartbeatReceiver> leader() {
        return leader;
    }

    /** Whether this controller, which leads as far as it knows, may answer workers. */
    boolean mayAnswer(double now) {
        return !isolation.isIsolated(now)
                && leaseRenewal.mayRenew(synchronizer.lastConfirmedAt(), now);
    }

    /**
     * @param encoded the heartbeat as it came
     */
    HeartbeatVerdict answer(Heartbeat heartbeat, byte[] encoded, double now) {
        if (heartbeat.fencingToken().isNewerThan(leadership.fencingToken())) {
            leadership.observeFencingToken(heartbeat.fencingToken());
            return HeartbeatVerdict.Refused.NEWER_FENCING_TOKEN;
        }
        if (!mayAnswer(now)) {
            return HeartbeatVerdict.Refused.STORE_UNREACHABLE;
        }
        if (leader.isEmpty()) {
            return leaderlessRole.renewLease(heartbeat);
        }
        Set<String> owners = partitions.owners(now);
        Optional<String> owner = misroutedMachines.redirectTarget(heartbeat.machine(), owners, now);
        if (owner.isPresent()) {
            return new HeartbeatVerdict.Redirected(owner.get());
        }
        Optional<List<Order>> orders = leader.get().acceptHeartbeat(heartbeat, "");
        partitions.recordLocalHeartbeat(heartbeat.machine(), owners, now);
        if (orders.isEmpty()) {
            logOnce.warn(heartbeat.machine(), "sends a late copy of a heartbeat, or was returned");
            return HeartbeatVerdict.Refused.OUTDATED_HEARTBEAT;
        }
        cache(heartbeat, encoded, orders.get());
        return new HeartbeatVerdict.Accepted(
                WorkerProtocol.heartbeatReply(leadership.fencingToken(), orders.get()));
    }

    private void cache(Heartbeat heartbeat, byte[] encoded, List<Order> orders) {
        boolean anyStop = orders.stream().anyMatch(Order.Stop.class::isInstance);
        forwarder.cacheHeartbeat(
                heartbeat,
                encoded,
                HeartbeatForwarder.cancellationWatermark(anyStop, synchronizer.lastConfirmedAt()));
    }

    /**
     * To be called often while leading: whether others reach the workers and this controller does
     * not, so that another one should lead.
     */
    boolean hasReceiveFailure(double now) {
        if (!mayAnswer(now)) {
            // Workers that are refused everywhere turn up at random controllers afterwards.
            partitions.resetObservations();
        }
        partitions.owners(now);
        // In an outage nobody else could be elected, and machines would get no stops from anybody.
        return leadership.holdsValidLease() && partitions.hasLocalReceiveFailure(now);
    }
}
