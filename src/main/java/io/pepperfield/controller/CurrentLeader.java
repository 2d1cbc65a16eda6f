package io.pepperfield.controller;

import io.pepperfield.health.MembershipChangeLogger;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.HeartbeatForwarder;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Holds the {@link Leader} of this controller, which exists from the recovery of its state until
 * the end of the leadership term. Confined to the event loop.
 */
final class CurrentLeader {

    private final Loop loop;
    private final HeartbeatHandler heartbeatHandler;
    private final HeartbeatForwarder heartbeatForwarder;
    private final MembershipChangeLogger membershipLog;
    private final Supplier<Leader> factory;
    private Optional<Leader> leader = Optional.empty();

    /**
     * @param factory creates the leader of a new leadership term
     */
    CurrentLeader(
            Loop loop,
            HeartbeatHandler heartbeatHandler,
            HeartbeatForwarder heartbeatForwarder,
            MembershipChangeLogger membershipLog,
            Supplier<Leader> factory) {
        this.loop = loop;
        this.heartbeatHandler = heartbeatHandler;
        this.heartbeatForwarder = heartbeatForwarder;
        this.membershipLog = membershipLog;
        this.factory = factory;
    }

    Optional<Leader> get() {
        return leader;
    }

    boolean isPresent() {
        return leader.isPresent();
    }

    /** Creates the leader and recovers its state. The replica must be current. */
    void start() {
        Leader started = factory.get();
        leader = Optional.of(started);
        heartbeatHandler.leadershipStarted(started.heartbeatProcessor());
        started.recoverState();
        heartbeatForwarder
                .cachedHeartbeats(loop.now())
                .forEach(started.heartbeatProcessor()::restoreCachedHeartbeat);
    }

    /** Ends the leadership term, whether or not the leader had already recovered its state. */
    void stop() {
        membershipLog.reset();
        if (leader.isPresent()) {
            leader.get().stop();
            leader = Optional.empty();
            heartbeatHandler.leadershipEnded();
        }
    }
}
