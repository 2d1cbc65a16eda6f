package io.pepperfield.rollout;

import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;

/** The result of an operator's command. */
sealed interface RolloutResult {

    /** The command has taken effect, now or when it was sent before. */
    record Completed(String message) implements RolloutResult {}

    /** The command is not allowed in the current state; nothing was written. */
    record Refused(String reason) implements RolloutResult {}

    /** The result is not known or cannot be decided by this controller now; to be retried. */
    record RetryLater(String reason) implements RolloutResult {}

    /** The HTTP reply to the console. */
    default HttpReply toReply() {
        if (this instanceof Completed completed) {
            return HttpReply.json(200, Json.object().put("result", completed.message));
        }
        if (this instanceof Refused refused) {
            return HttpReply.error(409, refused.reason);
        }
        return HttpReply.unavailable(((RetryLater) this).reason);
    }
}
