package io.pepperfield.controller;

import io.pepperfield.health.MembershipChangeLogger;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.ReplicaSynchronizer;

/**
 * Drives the election and this controller's leader, if there is one, and gives the leadership up
 * where workers reach other controllers but not this one.
 */
final class LeaderSupervisor {

    private final Loop loop;
    private final ReplicaSynchronizer synchronizer;
    private final Leadership leadership;
    private final CurrentLeader currentLeader;
    private final MembershipChangeLogger membershipLog;
    private final HeartbeatHandler heartbeatHandler;
    private final double leaseS;

    /**
     * @param leaseS of a worker: how long this controller then does not stand for election
     */
    LeaderSupervisor(
            Loop loop,
            ReplicaSynchronizer synchronizer,
            Leadership leadership,
            CurrentLeader currentLeader,
            MembershipChangeLogger membershipLog,
            HeartbeatHandler heartbeatHandler,
            double leaseS) {
        this.loop = loop;
        this.synchronizer = synchronizer;
        this.leadership = leadership;
        this.currentLeader = currentLeader;
        this.membershipLog = membershipLog;
        this.heartbeatHandler = heartbeatHandler;
        this.leaseS = leaseS;
    }

    void tick() {
        if (synchronizer.isLoaded()) {
            leadership.replicaLoaded();
        }
        leadership.tick();
        currentLeader.get().ifPresent(Leader::tick);
        // That tick may have given the leadership up.
        if (currentLeader.isPresent()) {
            checkMembership(loop.now());
        }
    }

    private void checkMembership(double now) {
        membershipLog.logChanges(now);
        if (heartbeatHandler.leaderHasReceiveFailure(now)) {
            // Others reach the workers: whoever leads next sends its orders directly.
            leadership.stepDown("no worker reaches this node, and others do", leaseS);
        }
    }
}
