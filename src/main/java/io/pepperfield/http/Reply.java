package io.pepperfield.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One answer; {@code retryAfterS} above 0 tells the client when to come back, {@code close} ends
 * the connection with it.
 */
public record Reply(int status, byte[] body, int retryAfterS, boolean close) {

    private static final byte[] NOTHING = new byte[0];

    /** Creates an answer that leaves the connection open. */
    public Reply(int status, byte[] body, int retryAfterS) {
        this(status, body, retryAfterS, false);
    }

    /** The same answer, after which the client has to look for another node. */
    public Reply closing() {
        return new Reply(status, body, retryAfterS, true);
    }

    /** An answer with a JSON body. */
    public static Reply json(int status, JsonNode body) {
        return new Reply(status, Json.write(body), 0);
    }

    /** An answer without a body. */
    public static Reply empty(int status) {
        return new Reply(status, NOTHING, 0);
    }

    /** An answer whose JSON body holds an error message. */
    public static Reply error(int status, String why) {
        return json(status, Json.object().put("error", why));
    }

    /** The service cannot take this now: said at once, with the time to come back. */
    public static Reply later(String why) {
        return later(why, 1);
    }

    /** An answer with status 503 that asks the client to retry after {@code afterS} seconds. */
    public static Reply later(String why, int afterS) {
        return new Reply(503, Json.write(Json.object().put("error", why)), afterS);
    }
}
