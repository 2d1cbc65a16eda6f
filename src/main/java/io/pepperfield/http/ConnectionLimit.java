package io.pepperfield.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections to all addresses together; beyond the bound the longest idle one gives
 * way.
 */
final class ConnectionLimit {

    private final int most;

    /** All connections that carry nothing at the moment, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();

    private int open;

    ConnectionLimit(int most) {
        this.most = most;
    }

    /** Makes sure that one more connection stays within the limit, if that can be. */
    boolean makeRoom() {
        if (open >= most && !idle.isEmpty()) {
            Connection eldest = idle.iterator().next();
            eldest.pool().retire(eldest);
        }
        return open < most;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    void idle(Connection connection) {
        idle.add(connection);
    }

    /** The connection carries something again, or is closed. */
    void busy(Connection connection) {
        idle.remove(connection);
    }
}
