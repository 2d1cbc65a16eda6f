package io.pepperfield.heartbeat;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.HeartbeatForwarder;

/** Answers heartbeats while no leader can be asked. */
final class LeaderlessRole {

    private final Loop loop;
    private final Leadership leadership;
    private final HeartbeatForwarder forwarder;
    private final LeaseRenewalPolicy leaseRenewal;
    private final IsolationDetector isolation;

    /** Creates the role; it holds no state of its own. */
    LeaderlessRole(
            Loop loop,
            ClusterLinks links,
            LeaseRenewalPolicy leaseRenewal,
            IsolationDetector isolation) {
        this.loop = loop;
        this.leadership = links.leadership();
        this.forwarder = links.forwarder();
        this.leaseRenewal = leaseRenewal;
        this.isolation = isolation;
    }

    /** The verdict of a controller that neither leads nor reaches a leader. */
    HeartbeatVerdict answer(Heartbeat heartbeat, double now) {
        if (!isolation.isIsolated(now) && isolation.leaderMayBeAbsent(now)) {
            return renewLease(heartbeat);
        }
        if (isolation.anotherControllerLeads(now)) {
            return new HeartbeatVerdict.Redirected(leadership.leaderNode());
        }
        // Cut off from the leader and the store: others take the worker within its lease.
        return HeartbeatVerdict.Refused.LEADER_UNREACHABLE;
    }

    /**
     * Renews a lease while nobody leads or the leader cannot be asked, with no orders but stops for
     * what is known to be cancelled; as long as either the last leader's answer to this machine or
     * this controller's own replica allows.
     */
    HeartbeatVerdict renewLease(Heartbeat heartbeat) {
        FencingToken token =
                FencingToken.newest(leadership.highestFencingToken(), forwarder.fencingToken());
        double cancellationWatermark =
                Math.max(
                        forwarder.cancellationWatermark(heartbeat.machine()),
                        leaseRenewal.localCancellationWatermark(heartbeat));
        if (!token.exists() || heartbeat.fencingToken().isNewerThan(token)) {
            // A worker drops an answer with a lower token, and would stay here while its lease runs
            // out.
            return HeartbeatVerdict.Refused.NO_FENCING_TOKEN;
        }
        if (!leaseRenewal.mayRenew(cancellationWatermark, loop.now())) {
            return HeartbeatVerdict.Refused.LEASE_EXHAUSTED;
        }
        return new HeartbeatVerdict.Accepted(
                WorkerProtocol.heartbeatReply(
                        token, leaseRenewal.stopOrdersForCancelledJobs(heartbeat)));
    }
}
