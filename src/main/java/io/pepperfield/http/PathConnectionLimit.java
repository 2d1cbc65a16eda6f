package io.pepperfield.http;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds the connections that the many clients of one path may hold, so that all others still find
 * a free one. Confined to the server's event loop.
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

    /** Counts one more connection; false where the bound is reached. */
    boolean tryAcquire() {
        if (openConnections < maxConnections) {
            openConnections++;
            return true;
        }
        if (!refusalLogged) {
            refusalLogged = true;
            LOG.warn(
                    "connection limit reached, further clients are refused: path={} connections={}",
                    path,
                    openConnections);
        }
        return false;
    }

    /** A counted connection has ended. */
    void release() {
        openConnections--;
        // Logged again only after a clear let-up, or each refusal near the limit would be a line.
        refusalLogged &= openConnections >= nearlyFull();
    }

    /** Whether counted connections are to end with their replies, to let other clients in. */
    boolean isNearlyFull() {
        return openConnections > nearlyFull();
    }

    private int nearlyFull() {
        return maxConnections * 9 / 10;
    }
}
