package io.pepperfield.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections to all addresses together; beyond the bound the longest idle one gives
 * way.
 */
final class ConnectionLimit {

    private final int maxConnections;

    /** All connections that carry nothing at the moment, the longest idle first. */
    private final Set<ClientConnection> markIdle = new LinkedHashSet<>();

    private int openConnections;

    ConnectionLimit(int most) {
        this.maxConnections = most;
    }

    /** Makes sure that one more connection stays within the limit, if that can be. */
    boolean tryMakeRoom() {
        if (openConnections >= maxConnections && !markIdle.isEmpty()) {
            ClientConnection eldest = markIdle.iterator().next();
            eldest.pool().retire(eldest);
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
        markIdle.add(connection);
    }

    /** The connection carries something again, or is closed. */
    void markBusy(ClientConnection connection) {
        markIdle.remove(connection);
    }
}
