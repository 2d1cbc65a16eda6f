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

/** Takes what the other controllers send to this one. */
final class PeerMessageReceiver implements Peers.Handler {

    private final StoredStateCompatibility storedStateCompatibility;
    private final PauseDetector pauseDetector;
    private final HeartbeatHandler heartbeatHandler;
    private final WorkerClient workers;
    private final HeartbeatForwarder heartbeatForwarder;
    private final Consumer<String> onCancelledByPeer;

    PeerMessageReceiver(
            StoredStateCompatibility storedVersion,
            PauseDetector pauseDetector,
            HeartbeatHandler reports,
            WorkerClient workers,
            HeartbeatForwarder forwarder,
            Consumer<String> cancelledElsewhere) {
        this.storedStateCompatibility = storedVersion;
        this.pauseDetector = pauseDetector;
        this.heartbeatHandler = reports;
        this.workers = workers;
        this.heartbeatForwarder = forwarder;
        this.onCancelledByPeer = cancelledElsewhere;
    }

    @Override
    public void heartbeatBatchReceived(
            PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer) {
        if (storedStateCompatibility.mayServe()) {
            heartbeatHandler.handleForwarded(batch, answer);
        } else {
            answer.accept(HttpReply.error(503, StoredStateCompatibility.NOT_SERVING));
        }
    }

    @Override
    public void directOrdersReceived(FencingToken token, PeerMessages.DirectOrderMessage message) {
        if (pauseDetector.checkStale() || !storedStateCompatibility.mayServe()) {
            // Meant for then; by now another may lead, and the machine be told otherwise.
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
    public void jobsCancelled(List<String> ids) {
        ids.forEach(onCancelledByPeer);
    }
}
