package io.pepperfield.controller;

import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.heartbeat.LeaderHeartbeatReceiver;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.PeerMessages;
import io.pepperfield.peer.PeerMessages.ForwardedHeartbeat;
import io.pepperfield.peer.PeerMessages.LeaderVerdict;
import java.util.List;
import java.util.Optional;

/** Applies heartbeats to the leader's fleet and decides whether they renew the worker's lease. */
final class LeaderHeartbeatProcessor implements LeaderHeartbeatReceiver {

    private final Loop loop;
    private final Fleet fleet;
    private final Leadership leadership;
    private final LeaseRenewalPolicy leaseRenewal;
    private final StoreFreshness storeFreshness;

    LeaderHeartbeatProcessor(
            Loop loop,
            Fleet fleet,
            Leadership leadership,
            LeaseRenewalPolicy leaseRenewal,
            StoreFreshness storeFreshness) {
        this.loop = loop;
        this.fleet = fleet;
        this.leadership = leadership;
        this.leaseRenewal = leaseRenewal;
        this.storeFreshness = storeFreshness;
    }

    @Override
    public Optional<List<Order>> acceptHeartbeat(Heartbeat heartbeat, String reportingController) {
        double now = loop.now();
        fleet.setStartsSuspended(!storeFreshness.isFresh());
        Optional<List<Order>> orders = fleet.handleHeartbeat(heartbeat, now);
        if (orders.isEmpty()) {
            return orders;
        }
        Machine machine = fleet.getMachine(heartbeat.machine());
        machine.setReportingController(reportingController);
        return leaseRenewal.mayRenew(cancellationWatermark(machine), now)
                ? orders
                : Optional.empty();
    }

    /**
     * Returns the loop time up to which all cancellations have taken effect on the machine once it
     * has processed the reply to its heartbeat. A run order that is still in flight limits it if
     * its job has been cancelled in the meantime: the attempt could start after the last stop order
     * that this leader can send.
     */
    private double cancellationWatermark(Machine machine) {
        return fleet.cancelledAttemptsThatMayStart(machine).stream()
                .mapToDouble(attempt -> attempt.job.lastKnownActiveAt())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    @Override
    public LeaderVerdict acceptForwardedHeartbeat(
            ForwardedHeartbeat forwarded, String reportingController) {
        Optional<Heartbeat> heartbeat = expandHeartbeat(forwarded);
        if (heartbeat.isEmpty()) {
            return LeaderVerdict.FULL_HEARTBEAT_REQUIRED;
        }
        if (heartbeat.get().fencingToken().isNewerThan(leadership.fencingToken())) {
            leadership.observeFencingToken(heartbeat.get().fencingToken());
            return LeaderVerdict.REFUSED;
        }
        Optional<List<Order>> orders = acceptHeartbeat(heartbeat.get(), reportingController);
        if (orders.isEmpty()) {
            return LeaderVerdict.REFUSED;
        }
        return new LeaderVerdict.Orders(WorkerProtocol.encodeOrders(orders.get()));
    }

    /**
     * Returns the complete heartbeat; empty if the forwarded one only refers to an earlier
     * heartbeat that is unknown to this leader.
     */
    private Optional<Heartbeat> expandHeartbeat(ForwardedHeartbeat forwarded) {
        if (forwarded instanceof ForwardedHeartbeat.Repeated repeated) {
            return fleet.expandRepeatedHeartbeat(
                    repeated.machine(),
                    repeated.incarnation(),
                    repeated.baseSequence(),
                    repeated.sequence(),
                    repeated.fencingToken());
        }
        return Optional.of(((ForwardedHeartbeat.Full) forwarded).heartbeat());
    }

    @Override
    public void directOrderReplyReceived(Heartbeat heartbeat) {
        fleet.handleDirectResponse(heartbeat, loop.now());
    }

    @Override
    public void restoreCachedHeartbeat(PeerMessages.CachedHeartbeat cached) {
        fleet.handleCachedHeartbeat(cached.heartbeat(), loop.now() - cached.ageS());
    }
}
