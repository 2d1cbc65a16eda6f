package io.pepperfield.controller;

import io.pepperfield.health.PauseDetector;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.peer.HeartbeatForwarder;

/** Sends the requests and replies that one batch of commands has buffered. */
final class BatchFlusher {

    private final PauseDetector pauseDetector;
    private final StoredStateCompatibility compatibility;
    private final CurrentLeader currentLeader;
    private final HeartbeatForwarder heartbeatForwarder;
    private final UserRequests userRequests;
    private final CancellationAnnouncer cancellationAnnouncer;

    BatchFlusher(
            PauseDetector pauseDetector,
            StoredStateCompatibility compatibility,
            CurrentLeader currentLeader,
            HeartbeatForwarder heartbeatForwarder,
            UserRequests userRequests,
            CancellationAnnouncer cancellationAnnouncer) {
        this.pauseDetector = pauseDetector;
        this.compatibility = compatibility;
        this.currentLeader = currentLeader;
        this.heartbeatForwarder = heartbeatForwarder;
        this.userRequests = userRequests;
        this.cancellationAnnouncer = cancellationAnnouncer;
    }

    void flush() {
        pauseDetector.updateAndCheckStale();
        if (!compatibility.mayServe()) {
            return;
        }
        currentLeader.get().ifPresent(Leader::flush);
        heartbeatForwarder.flush();
        userRequests.flush();
        cancellationAnnouncer.flush();
    }
}
