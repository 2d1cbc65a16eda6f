package io.pepperfield.heartbeat;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.peer.PeerMessages;
import java.util.List;
import java.util.Optional;

/** What the leader does with heartbeats, whichever controller a worker has sent them to. */
public interface LeaderHeartbeatReceiver {

    /**
     * Takes a worker's heartbeat.
     *
     * @param reportingController the controller that forwarded it, or empty where the worker sent
     *     it here
     * @return the orders that answer it; empty where it is refused
     */
    Optional<List<Order>> acceptHeartbeat(Heartbeat heartbeat, String reportingController);

    /** Takes a heartbeat that another controller has forwarded, and gives the verdict on it. */
    PeerMessages.LeaderVerdict acceptForwardedHeartbeat(
            PeerMessages.ForwardedHeartbeat forwarded, String reportingController);

    /** Takes a worker's reply to direct orders. */
    void directOrderReplyReceived(Heartbeat heartbeat);

    /** Takes a heartbeat that another controller answered before this leader was elected. */
    void restoreCachedHeartbeat(PeerMessages.CachedHeartbeat cached);
}
