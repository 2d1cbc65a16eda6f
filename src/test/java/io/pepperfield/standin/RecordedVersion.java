package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import java.util.Iterator;

/**
 * The habits of the recorded version (c7a624d) as filters around a controller of today: what that
 * version does not know never reaches it, and what it cannot tell apart is made alike. Its record
 * sizes follow from its settings, which lack {@code state.next}; see {@link SimulatedRegion}. The
 * messages between controllers are the same in both.
 */
final class RecordedVersion {

    private static final int MALFORMED = 400;
    private static final int UNAVAILABLE = 503;
    private static final String ROLLOUT_PREFIX = "pepperfield/rollout/";
    private static final String JOB_PREFIX = "pepperfield/job/";

    private RecordedVersion() {}

    /** The body of a user's request without the field that is new. */
    static byte[] withoutAwaits(String path, byte[] body) {
        if (!path.equals("/api/jobs") || body == null) {
            return body;
        }
        JsonNode submission = Json.read(body);
        if (!(submission instanceof ObjectNode object) || !object.has("awaits")) {
            return body;
        }
        return Json.write(object.without("awaits"));
    }

    /** The way to the state service as that version uses and understands it. */
    static HttpSender filterStoreResponses(HttpSender sender) {
        return (request, onOutcome) ->
                sender.send(
                        request,
                        outcome ->
                                onOutcome.accept(
                                        outcome instanceof HttpOutcome.Answered answer
                                                ? understood(request.path(), answer)
                                                : outcome));
    }

    private static HttpOutcome understood(String path, HttpOutcome.Answered answer) {
        if (path.equals("/txn") && answer.status() == MALFORMED) {
            // It knows no refusal for good: the same transaction is tried again and again.
            return new HttpOutcome.Answered(UNAVAILABLE, answer.body());
        }
        if (answer.status() != 200 || !path.startsWith("/kv?") && !path.startsWith("/follow?")) {
            return answer;
        }
        JsonNode body = answer.json();
        body.path("pairs").forEach(pair -> forgetAwaits(pair, "k"));
        body.path("events").forEach(event -> forgetAwaits(event, "set"));
        // It reads them, and no part of it asks for them.
        forgetRollout(body.path("pairs"), "k");
        forgetRollout(body.path("events"), "set");
        return new HttpOutcome.Answered(answer.status(), Json.write(body));
    }

    private static void forgetRollout(JsonNode items, String keyField) {
        for (Iterator<JsonNode> all = items.iterator(); all.hasNext(); ) {
            if (all.next().path(keyField).asText().startsWith(ROLLOUT_PREFIX)) {
                all.remove();
            }
        }
    }

    private static void forgetAwaits(JsonNode item, String keyField) {
        if (item.path(keyField).asText().startsWith(JOB_PREFIX)
                && item.path("data") instanceof ObjectNode job) {
            job.remove("aw");
        }
    }
}
