package io.pepperfield.heartbeat;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.peer.PeerMessages;
import java.util.List;
import java.util.Optional;

/** Receives, on the leader, the heartbeats that workers have sent to any controller. */
public interface LeaderHeartbeatReceiver {

    /**
     * Processes a worker's heartbeat.
     *
     * @param reportingController the controller that forwarded it, or an empty string if the worker
     *     sent it to this controller
     * @return the orders for the worker, or empty if the heartbeat is refused
     */
    Optional<List<Order>> acceptHeartbeat(Heartbeat heartbeat, String reportingController);

    /** Processes a heartbeat that another controller has forwarded, and returns the verdict. */
    PeerMessages.LeaderVerdict acceptForwardedHeartbeat(
            PeerMessages.ForwardedHeartbeat forwarded, String reportingController);

    /** Processes a worker's reply to direct orders. */
    void directOrderReplyReceived(Heartbeat heartbeat);

    /** Restores a heartbeat that a controller answered before this leader was elected. */
    void restoreCachedHeartbeat(PeerMessages.CachedHeartbeat cached);
}
