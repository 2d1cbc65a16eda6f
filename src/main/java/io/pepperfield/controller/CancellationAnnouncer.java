package io.pepperfield.controller;

import io.pepperfield.peer.Peers;
import java.util.ArrayList;
import java.util.List;

/**
 * Notifies the other controllers of cancellations that this controller has confirmed to users, in
 * one message per batch of commands.
 */
final class CancellationAnnouncer {

    private final Peers peers;
    private final List<String> pendingJobs = new ArrayList<>();

    CancellationAnnouncer(Peers peers) {
        this.peers = peers;
    }

    void add(String jobId) {
        pendingJobs.add(jobId);
    }

    void flush() {
        if (!pendingJobs.isEmpty()) {
            peers.broadcastCancelledJobs(pendingJobs);
            pendingJobs.clear();
        }
    }
}
