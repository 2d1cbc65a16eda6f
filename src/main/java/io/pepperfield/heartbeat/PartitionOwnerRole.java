package io.pepperfield.heartbeat;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.PeerMessages.LeaderVerdict;
import java.util.Optional;
import java.util.function.Consumer;

/** Answers the heartbeats of this controller's partition with the verdicts of the leader. */
final class PartitionOwnerRole {

    private final HeartbeatForwarder forwarder;
    private final PauseDetector pauseDetector;
    private final MisroutedMachines misroutedMachines;
    private final LeaderlessRole leaderlessRole;

    PartitionOwnerRole(
            HeartbeatForwarder forwarder,
            PauseDetector pauseDetector,
            MisroutedMachines misroutedMachines,
            LeaderlessRole leaderlessRole) {
        this.forwarder = forwarder;
        this.pauseDetector = pauseDetector;
        this.misroutedMachines = misroutedMachines;
        this.leaderlessRole = leaderlessRole;
    }

    /** Whether a leader answers the heartbeats that this controller forwards. */
    boolean isActive(double now) {
        return forwarder.leaderReachable(now);
    }

    /**
     * @param encoded the heartbeat as received
     * @param done called once on the event loop, possibly later
     */
    void answer(Heartbeat heartbeat, byte[] encoded, double now, Consumer<HeartbeatVerdict> done) {
        Optional<String> owner =
                misroutedMachines.redirectTarget(
                        heartbeat.machine(), forwarder.partitionOwners(), now);
        if (owner.isPresent()) {
            done.accept(new HeartbeatVerdict.Redirected(owner.get()));
            return;
        }
        forwarder.submit(
                heartbeat, encoded, verdict -> done.accept(toHeartbeatVerdict(heartbeat, verdict)));
    }

    private HeartbeatVerdict toHeartbeatVerdict(Heartbeat heartbeat, LeaderVerdict verdict) {
        if (pauseDetector.updateAndCheckStale()) {
            return HeartbeatVerdict.Refused.PROCESS_PAUSED;
        }
        if (verdict instanceof LeaderVerdict.Orders orders
                && forwarder.fencingToken().isAtLeast(heartbeat.fencingToken())) {
            return new HeartbeatVerdict.Accepted(
                    WorkerProtocol.heartbeatReply(forwarder.fencingToken(), orders.orders()));
        }
        if (verdict instanceof LeaderVerdict.Unreachable) {
            return leaderlessRole.renewLease(heartbeat);
        }
        return HeartbeatVerdict.Refused.OUTDATED_HEARTBEAT;
    }
}
