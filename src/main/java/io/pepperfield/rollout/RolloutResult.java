package io.pepperfield.rollout;

import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;

/** What an operator's command came to. */
sealed interface RolloutResult {

    /** Done, now or before. */
    record Completed(String message) implements RolloutResult {}

    /** Not allowed as things stand; nothing was written. */
    record Refused(String reason) implements RolloutResult {}

    /** Could not be decided here and now: to be repeated. */
    record RetryLater(String reason) implements RolloutResult {}

    /** The answer to the console. */
    default HttpReply toReply() {
        if (this instanceof Completed done) {
            return HttpReply.json(200, Json.object().put("result", done.message));
        }
        if (this instanceof Refused refused) {
            return HttpReply.error(409, refused.reason);
        }
        return HttpReply.unavailable(((RetryLater) this).reason);
    }
}
