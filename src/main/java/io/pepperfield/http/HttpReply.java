package io.pepperfield.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One answer; {@code retryAfterS} above 0 tells the client when to come back, {@code
 * closeConnection} ends the connection with it.
 */
public record HttpReply(int status, byte[] body, int retryAfterS, boolean closeConnection) {

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int DEFAULT_RETRY_AFTER_S = 1;
    private static final byte[] EMPTY_BODY = new byte[0];

    /** Creates an answer that leaves the connection open. */
    public HttpReply(int status, byte[] body, int retryAfterS) {
        this(status, body, retryAfterS, false);
    }

    /** The same answer, after which the client has to look for another node. */
    public HttpReply withConnectionClose() {
        return new HttpReply(status, body, retryAfterS, true);
    }

    /** An answer with a JSON body. */
    public static HttpReply json(int status, JsonNode body) {
        return new HttpReply(status, Json.write(body), 0);
    }

    /** An answer without a body. */
    public static HttpReply empty(int status) {
        return new HttpReply(status, EMPTY_BODY, 0);
    }

    /** An answer whose JSON body holds an error message. */
    public static HttpReply error(int status, String reason) {
        return json(status, Json.object().put("error", reason));
    }

    /** The service cannot take this now: said at once, with the time to come back. */
    public static HttpReply unavailable(String reason) {
        return unavailable(reason, DEFAULT_RETRY_AFTER_S);
    }

    /**
     * An answer with status 503 that asks the client to retry after {@code retryAfterS} seconds.
     */
    public static HttpReply unavailable(String reason, int retryAfterS) {
        return new HttpReply(
                SERVICE_UNAVAILABLE, Json.write(Json.object().put("error", reason)), retryAfterS);
    }
}
