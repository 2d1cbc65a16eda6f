package io.pepperfield.controller;

import io.pepperfield.health.MembershipChangeLogger;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.ReplicaSynchronizer;

/**
 * Drives leader election and this controller's leader, if there is one. Steps down if workers reach
 * other controllers but not this one.
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
     * @param leaseS a worker's lease in seconds, for which this controller does not stand for
     *     election after stepping down
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
        // The leader's tick may have stepped down.
        if (currentLeader.isPresent()) {
            checkMembership(loop.now());
        }
    }

    private void checkMembership(double now) {
        membershipLog.logChanges(now);
        if (heartbeatHandler.leaderHasReceiveFailure(now)) {
            // Workers reach other controllers, so a leader elected among those can send them orders
            // directly.
            leadership.stepDown("workers reach other controllers but not this one", leaseS);
        }
    }
}
