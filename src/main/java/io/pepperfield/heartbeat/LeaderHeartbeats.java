package io.pepperfield.heartbeat;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.peer.PeerMessages;
import java.util.List;

/** What the leader does with heartbeats, whichever controller a worker has sent them to. */
public interface LeaderHeartbeats {

    /**
     * Takes a worker's report.
     *
     * @param through the controller that forwarded it, or empty where the worker sent it here
     * @return the orders that answer it, or null where it must not be answered with 200
     */
    List<Order> acceptHeartbeat(Heartbeat report, String through);

    /** Takes a report that another controller has passed on, and gives the answer for it. */
    PeerMessages.LeaderVerdict acceptForwardedHeartbeat(
            PeerMessages.ForwardedHeartbeat beat, String through);

    /** Takes a worker's answer to direct orders. */
    void directOrderReplyReceived(Heartbeat report);

    /** Takes what another controller remembers of a machine. */
    void restoreCachedHeartbeat(PeerMessages.CachedHeartbeat kept);
}
