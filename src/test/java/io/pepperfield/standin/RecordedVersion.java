package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import java.util.Iterator;

/**
 * Emulates the recorded version (c7a624d) by filters around a controller of the current version:
 * they remove data that the recorded version does not support, and unify responses that it does not
 * distinguish. Its record sizes follow from its settings, which lack {@code state.next}; see {@link
 * SimulatedRegion}. The messages between controllers are the same in both versions.
 */
final class RecordedVersion {

    private static final int MALFORMED = 400;
    private static final int UNAVAILABLE = 503;
    private static final String ROLLOUT_PREFIX = "pepperfield/rollout/";
    private static final String JOB_PREFIX = "pepperfield/job/";

    private RecordedVersion() {}

    /** Returns the body of a user's request without {@code awaits}, which is a new field. */
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

    /**
     * Wraps a sender to the state service so that responses appear as the recorded version
     * interprets them.
     */
    static HttpSender filterStoreResponses(HttpSender sender) {
        return (request, onOutcome) ->
                sender.send(
                        request,
                        outcome ->
                                onOutcome.accept(
                                        outcome instanceof HttpOutcome.Answered answer
                                                ? asRecordedVersion(request.path(), answer)
                                                : outcome));
    }

    private static HttpOutcome asRecordedVersion(String path, HttpOutcome.Answered answer) {
        if (path.equals("/txn") && answer.status() == MALFORMED) {
            // The recorded version has no permanent rejection, and retries the transaction
            // repeatedly.
            return new HttpOutcome.Answered(UNAVAILABLE, answer.body());
        }
        if (answer.status() != 200 || !path.startsWith("/kv?") && !path.startsWith("/follow?")) {
            return answer;
        }
        JsonNode body = answer.json();
        body.path("pairs").forEach(pair -> removeAwaits(pair, "k"));
        body.path("events").forEach(event -> removeAwaits(event, "set"));
        // The recorded version reads these records, but no part of it uses them.
        removeRolloutRecords(body.path("pairs"), "k");
        removeRolloutRecords(body.path("events"), "set");
        return new HttpOutcome.Answered(answer.status(), Json.write(body));
    }

    private static void removeRolloutRecords(JsonNode items, String keyField) {
        for (Iterator<JsonNode> iterator = items.iterator(); iterator.hasNext(); ) {
            if (iterator.next().path(keyField).asText().startsWith(ROLLOUT_PREFIX)) {
                iterator.remove();
            }
        }
    }

    private static void removeAwaits(JsonNode item, String keyField) {
        if (item.path(keyField).asText().startsWith(JOB_PREFIX)
                && item.path("data") instanceof ObjectNode job) {
            job.remove("aw");
        }
    }
}
