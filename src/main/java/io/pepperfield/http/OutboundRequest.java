package io.pepperfield.http;

/**
 * A request to be sent by the client.
 *
 * @param maxConnections limit on the connections to this address when the request is sent
 * @param path path with query string
 * @param body JSON body, or null for none
 * @param deadlineMs milliseconds after which the request fails, including the wait for a connection
 */
public record OutboundRequest(
        String host,
        int port,
        int maxConnections,
        String method,
        String path,
        byte[] body,
        long deadlineMs) {

    /** Returns the key of the connection pool for this request. */
    String address() {
        return host + ":" + port;
    }
}
