package io.pepperfield.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A reply of the server.
 *
 * @param retryAfterS value of the Retry-After header in seconds; 0 for no header
 * @param closeConnection whether the connection is closed after the reply
 */
public record HttpReply(int status, byte[] body, int retryAfterS, boolean closeConnection) {

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int DEFAULT_RETRY_AFTER_S = 1;
    private static final byte[] EMPTY_BODY = new byte[0];

    /** Creates a reply that leaves the connection open. */
    public HttpReply(int status, byte[] body, int retryAfterS) {
        this(status, body, retryAfterS, false);
    }

    /** Returns the same reply, after which the client must connect to another node. */
    public HttpReply withConnectionClose() {
        return new HttpReply(status, body, retryAfterS, true);
    }

    /** Creates a reply with a JSON body. */
    public static HttpReply json(int status, JsonNode body) {
        return new HttpReply(status, Json.write(body), 0);
    }

    /** Creates a reply without a body. */
    public static HttpReply empty(int status) {
        return new HttpReply(status, EMPTY_BODY, 0);
    }

    /** Creates a reply with an error message in a JSON body. */
    public static HttpReply error(int status, String reason) {
        return json(status, Json.object().put("error", reason));
    }

    /** Creates a 503 reply that asks the client to retry after the default delay. */
    public static HttpReply unavailable(String reason) {
        return unavailable(reason, DEFAULT_RETRY_AFTER_S);
    }

    /** Creates a 503 reply that asks the client to retry after {@code retryAfterS} seconds. */
    public static HttpReply unavailable(String reason, int retryAfterS) {
        return new HttpReply(
                SERVICE_UNAVAILABLE, Json.write(Json.object().put("error", reason)), retryAfterS);
    }
}
