package io.pepperfield.controller;

import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.loop.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically logs request latencies and, while this controller leads, a summary of the fleet. */
final class SummaryLog {

    private static final Logger LOG = LoggerFactory.getLogger(SummaryLog.class);

    private final Loop loop;
    private final double intervalS;
    private final RequestRouter router;
    private final CurrentLeader currentLeader;
    private final HeartbeatHandler heartbeatHandler;
    private double lastLoggedAt;

    SummaryLog(
            Loop loop,
            double intervalS,
            RequestRouter router,
            CurrentLeader currentLeader,
            HeartbeatHandler heartbeatHandler) {
        this.loop = loop;
        this.intervalS = intervalS;
        this.router = router;
        this.currentLeader = currentLeader;
        this.heartbeatHandler = heartbeatHandler;
    }

    void tick() {
        double now = loop.now();
        if (now - lastLoggedAt < intervalS) {
            return;
        }
        lastLoggedAt = now;
        log(now);
        heartbeatHandler.evictMisroutedBefore(now - intervalS);
    }

    private void log(double now) {
        String latencies = router.latencySummary();
        if (!latencies.isEmpty()) {
            LOG.info("requests answered: {}", latencies);
        }
        if (currentLeader.isPresent()) {
            LOG.info(
                    "leader summary: {}, partitionOwners={}",
                    currentLeader.get().get().overview().summary(),
                    heartbeatHandler.partitions().owners(now));
        }
    }
}
