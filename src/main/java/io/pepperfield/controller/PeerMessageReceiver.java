package io.pepperfield.controller;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.http.HttpReply;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.PeerMessages;
import io.pepperfield.peer.Peers;
import java.util.List;
import java.util.function.Consumer;

/** Handles messages from other controllers. */
final class PeerMessageReceiver implements Peers.Handler {

    private final StoredStateCompatibility compatibility;
    private final PauseDetector pauseDetector;
    private final HeartbeatHandler heartbeatHandler;
    private final WorkerClient workers;
    private final HeartbeatForwarder heartbeatForwarder;
    private final Consumer<String> onCancelledByPeer;

    /**
     * @param onCancelledByPeer called for each job that another controller has confirmed to users
     *     as cancelled
     */
    PeerMessageReceiver(
            StoredStateCompatibility compatibility,
            PauseDetector pauseDetector,
            HeartbeatHandler heartbeatHandler,
            WorkerClient workers,
            HeartbeatForwarder heartbeatForwarder,
            Consumer<String> onCancelledByPeer) {
        this.compatibility = compatibility;
        this.pauseDetector = pauseDetector;
        this.heartbeatHandler = heartbeatHandler;
        this.workers = workers;
        this.heartbeatForwarder = heartbeatForwarder;
        this.onCancelledByPeer = onCancelledByPeer;
    }

    @Override
    public void heartbeatBatchReceived(
            PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer) {
        if (compatibility.mayServe()) {
            heartbeatHandler.handleForwarded(batch, answer);
        } else {
            answer.accept(HttpReply.error(503, StoredStateCompatibility.NOT_SERVING));
        }
    }

    @Override
    public void directOrdersReceived(FencingToken token, PeerMessages.DirectOrderMessage message) {
        if (pauseDetector.updateAndCheckStale() || !compatibility.mayServe()) {
            // The message may have been sent before this process was paused. Another controller may
            // have become leader since and sent the machine different orders.
            return;
        }
        workers.forwardOrders(
                message.address(),
                token,
                message.incarnation(),
                message.orders(),
                heartbeatForwarder::addDirectOrderReply);
    }

    @Override
    public void jobsCancelled(List<String> jobIds) {
        jobIds.forEach(onCancelledByPeer);
    }
}
