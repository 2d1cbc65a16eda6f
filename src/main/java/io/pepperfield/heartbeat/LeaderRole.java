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
    private final WarnOnceLogger faultLogger;

    /** Empty while this controller does not lead or has not recovered its state. */
    private Optional<LeaderHeartbeatReceiver> leader = Optional.empty();

    /**
     * @param leaderlessRole answers heartbeats from the election until the state is recovered
     */
    LeaderRole(
            ClusterLinks links,
            LeaseRenewalPolicy leaseRenewal,
            IsolationDetector isolation,
            PartitionAssignment partitions,
            MisroutedMachines misroutedMachines,
            LeaderlessRole leaderlessRole,
            WarnOnceLogger faultLogger) {
        this.leadership = links.leadership();
        this.forwarder = links.forwarder();
        this.synchronizer = links.synchronizer();
        this.leaseRenewal = leaseRenewal;
        this.isolation = isolation;
        this.partitions = partitions;
        this.misroutedMachines = misroutedMachines;
        this.leaderlessRole = leaderlessRole;
        this.faultLogger = faultLogger;
    }

    /** Called when this controller has become the leader. */
    void leadershipStarted(LeaderHeartbeatReceiver newLeader) {
        leader = Optional.of(newLeader);
        partitions.reset();
    }

    /** Called when the leadership has ended. */
    void leadershipEnded() {
        leader = Optional.empty();
    }

    /** The leader's receiver of heartbeats; empty while this controller cannot act as leader. */
    Optional<LeaderHeartbeatReceiver> leader() {
        return leader;
    }

    /**
     * Whether this controller may answer workers. It holds the leadership as far as it knows, but
     * may be isolated or lack recent contact with the store.
     */
    boolean mayAnswer(double now) {
        return !isolation.isIsolated(now)
                && leaseRenewal.mayRenew(synchronizer.lastConfirmedAt(), now);
    }

    /**
     * @param encoded the heartbeat as received
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
            faultLogger.warn(
                    heartbeat.machine(),
                    "heartbeat is a late duplicate, or the machine is released");
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
     * Whether heartbeats of this leader's partition reach other controllers only, so that another
     * controller should lead. Called on every tick while leading, since it updates the detection.
     */
    boolean hasReceiveFailure(double now) {
        if (!mayAnswer(now)) {
            // Workers that every controller refuses contact random controllers afterwards.
            partitions.resetObservations();
        }
        partitions.owners(now);
        // During a store outage no other leader could be elected, and no controller would send
        // stop orders to the machines.
        return leadership.holdsValidLease() && partitions.hasLocalReceiveFailure(now);
    }
}
