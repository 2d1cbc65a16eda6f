package io.pepperfield.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the total number of connections to all addresses; at the limit the longest idle connection
 * is evicted. Confined to the client's event loop.
 */
final class ConnectionLimit {

    private final int maxConnections;

    /** All idle connections, the longest idle first. */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

    private int openConnections;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Evicts the longest idle connection if the limit is reached.
     *
     * @return whether another connection may be opened
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

    /** Called when a connection carries an exchange again or is closed. */
    void markBusy(ClientConnection connection) {
        idleConnections.remove(connection);
    }
}
