package io.pepperfield.node;

import io.pepperfield.fleet.Workers;
import io.pepperfield.http.Reply;
import io.pepperfield.peer.ForwardingMessages;
import io.pepperfield.peer.Peers;
import io.pepperfield.peer.ReportForwarder;
import java.util.List;
import java.util.function.Consumer;

/** Takes what the other controllers send to this one. */
final class PeerMessageReceiver implements Peers.Handler {

    private final StoredVersion storedVersion;
    private final PauseDetector pauseDetector;
    private final ReportHandler reports;
    private final Workers workers;
    private final ReportForwarder forwarder;
    private final Consumer<String> cancelledElsewhere;

    PeerMessageReceiver(
            StoredVersion storedVersion,
            PauseDetector pauseDetector,
            ReportHandler reports,
            Workers workers,
            ReportForwarder forwarder,
            Consumer<String> cancelledElsewhere) {
        this.storedVersion = storedVersion;
        this.pauseDetector = pauseDetector;
        this.reports = reports;
        this.workers = workers;
        this.forwarder = forwarder;
        this.cancelledElsewhere = cancelledElsewhere;
    }

    @Override
    public void forwarded(ForwardingMessages.Batch batch, Consumer<Reply> answer) {
        if (storedVersion.serves()) {
            reports.receiveForwarded(batch, answer);
        } else {
            answer.accept(Reply.error(503, StoredVersion.NOT_SERVING));
        }
    }

    @Override
    public void direct(long token, ForwardingMessages.Direct message) {
        if (pauseDetector.stale() || !storedVersion.serves()) {
            // Meant for then; by now another may lead, and the machine be told otherwise.
            return;
        }
        workers.forward(
                message.address(), token, message.tenure(), message.orders(), forwarder::heard);
    }

    @Override
    public void cancelled(List<String> ids) {
        ids.forEach(cancelledElsewhere);
    }
}
