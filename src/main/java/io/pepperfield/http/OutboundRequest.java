package io.pepperfield.http;

/**
 * One request of the client.
 *
 * @param maxConnections bound on the connections that may be open to that address for it
 * @param path with its query
 * @param body JSON, or null for a request without a body
 * @param deadlineMs after so many milliseconds it has failed; waiting for a connection counts
 */
public record OutboundRequest(
        String host,
        int port,
        int maxConnections,
        String method,
        String path,
        byte[] body,
        long deadlineMs) {

    /** The address, as pools of connections are kept by. */
    String address() {
        return host + ":" + port;
    }
}
