package io.pepperfield.heartbeat;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.HeartbeatForwarder;

/** Answers heartbeats while no leader is reachable. */
final class LeaderlessRole {

    private final Loop loop;
    private final Leadership leadership;
    private final HeartbeatForwarder forwarder;
    private final LeaseRenewalPolicy leaseRenewal;
    private final IsolationDetector isolation;

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

    /** Returns the verdict of a controller that neither leads nor reaches a leader. */
    HeartbeatVerdict answer(Heartbeat heartbeat, double now) {
        if (!isolation.isIsolated(now) && isolation.leaderMayBeAbsent(now)) {
            return renewLease(heartbeat);
        }
        if (isolation.anotherControllerLeads(now)) {
            return new HeartbeatVerdict.Redirected(leadership.leaderNode());
        }
        // No contact with the leader or the store: the worker finds another controller before its
        // lease expires.
        return HeartbeatVerdict.Refused.LEADER_UNREACHABLE;
    }

    /**
     * Renews a lease while there is no leader or it cannot be reached. The only orders are stops
     * for attempts of jobs that are known to be cancelled. The lease is renewed as long as the last
     * leader's answer to this machine or this controller's own replica permits, whichever is later.
     */
    HeartbeatVerdict renewLease(Heartbeat heartbeat) {
        FencingToken token =
                FencingToken.newest(leadership.highestFencingToken(), forwarder.fencingToken());
        double cancellationWatermark =
                Math.max(
                        forwarder.cancellationWatermark(heartbeat.machine()),
                        leaseRenewal.localCancellationWatermark(heartbeat));
        if (!token.exists() || heartbeat.fencingToken().isNewerThan(token)) {
            // A worker ignores an answer with a lower token, and would keep sending its heartbeats
            // here until its lease expires.
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
