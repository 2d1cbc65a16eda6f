package io.pepperfield.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections to all addresses together; beyond the bound the longest idle one gives
 * way. Confined to the client's event loop.
 */
final class ConnectionLimit {

    private final int maxConnections;

    /** All connections that carry nothing at the moment, the longest idle first. */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

    private int openConnections;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Evicts the longest idle connection where the limit is reached.
     *
     * @return whether one more connection stays within the limit
     */
    boolean tryFreeSlot() {
        if (openConnections >= maxConnections && !idleConnections.isEmpty()) {
            ClientConnection longestIdle = idleConnections.iterator().next();
            longestIdle.pool().evict(longestIdle);
        }
        return openConnections < maxConnections;
    }

    void connectionOpened() {
        openConnections++;
    }

    void connectionClosed() {
        openConnections--;
    }

    void markIdle(ClientConnection connection) {
        idleConnections.add(connection);
    }

    /** The connection carries something again, or is closed. */
    void markBusy(ClientConnection connection) {
        idleConnections.remove(connection);
    }
}
