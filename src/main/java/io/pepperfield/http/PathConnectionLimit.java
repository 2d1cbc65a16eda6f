package io.pepperfield.http;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the connections held by clients of one path, which are numerous, so that connections
 * remain available to other clients. Confined to the server's event loop.
 */
final class PathConnectionLimit {

    private static final Logger LOG = LoggerFactory.getLogger(PathConnectionLimit.class);

    private final String path;
    private final int maxConnections;
    private int openConnections;
    private boolean refusalLogged;

    PathConnectionLimit(String path, int maxConnections) {
        this.path = path;
        this.maxConnections = maxConnections;
    }

    boolean appliesTo(String requestPath) {
        return requestPath.equals(path);
    }

    /** Counts a connection; returns false if the limit is reached. */
    boolean tryAcquire() {
        if (openConnections < maxConnections) {
            openConnections++;
            return true;
        }
        if (!refusalLogged) {
            refusalLogged = true;
            LOG.warn(
                    "connection limit reached, refusing further clients: path={} connections={}",
                    path,
                    openConnections);
        }
        return false;
    }

    /** Called when a counted connection has closed. */
    void release() {
        openConnections--;
        // Re-enables the warning only well below the limit; otherwise it would be logged for every
        // refusal near the limit.
        refusalLogged &= openConnections >= nearlyFullThreshold();
    }

    /** Whether counted connections should be closed after their replies, to admit other clients. */
    boolean isNearlyFull() {
        return openConnections > nearlyFullThreshold();
    }

    private int nearlyFullThreshold() {
        return maxConnections * 9 / 10;
    }
}
