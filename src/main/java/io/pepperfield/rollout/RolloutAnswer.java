package io.pepperfield.rollout;

import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;

/** What an operator's command came to. */
sealed interface RolloutAnswer {

    /** Done, now or before. */
    record Done(String text) implements RolloutAnswer {}

    /** Not allowed as things stand; nothing was written. */
    record Refused(String why) implements RolloutAnswer {}

    /** Could not be decided here and now: to be repeated. */
    record Repeat(String why) implements RolloutAnswer {}

    /** The answer to the console. */
    default Reply reply() {
        if (this instanceof Done done) {
            return Reply.json(200, Json.object().put("result", done.text));
        }
        if (this instanceof Refused refused) {
            return Reply.error(409, refused.why);
        }
        return Reply.later(((Repeat) this).why);
    }
}
