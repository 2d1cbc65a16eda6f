package io.pepperfield.controller;

import io.pepperfield.config.Settings;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Membership;

/** Estimates how many controllers are live. */
final class LiveControllerCount {

    private final Loop loop;
    private final Settings settings;
    private final Membership membership;
    private final HeartbeatForwarder heartbeatForwarder;
    private final CurrentLeader currentLeader;

    LiveControllerCount(
            Loop loop,
            Settings settings,
            Membership membership,
            HeartbeatForwarder heartbeatForwarder,
            CurrentLeader currentLeader) {
        this.loop = loop;
        this.settings = settings;
        this.membership = membership;
        this.heartbeatForwarder = heartbeatForwarder;
        this.currentLeader = currentLeader;
    }

    /**
     * Returns the number of live controllers from the membership if this controller leads,
     * otherwise from the leader's last reply. Returns the configured number if no leader is
     * reachable.
     */
    int estimate() {
        double now = loop.now();
        if (currentLeader.isPresent()) {
            return membership.liveMembers(now).size();
        }
        return heartbeatForwarder.leaderReachable(now)
                ? heartbeatForwarder.partitionOwners().size()
                : settings.deployment().controllerCount();
    }
}
