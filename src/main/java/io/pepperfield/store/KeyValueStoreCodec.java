package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.GrantOutcome;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.ReadResult;
import java.util.ArrayList;
import java.util.List;

/**
 * The messages of the state service's protocol; the only place that knows their field names. On the
 * wire a modification revision is a {@code stamp}, the store's revision a {@code generation}, a
 * precondition a {@code guard} and a grant's id a {@code claim}.
 */
public final class KeyValueStoreCodec {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private KeyValueStoreCodec() {}

    // ---- requests

    static byte[] encodeTransaction(List<Precondition> preconditions, List<Mutation> mutations) {
        ObjectNode body = Json.object();
        ArrayNode guards = body.putArray("guards");
        for (Precondition precondition : preconditions) {
            guards.addObject()
                    .put("k", precondition.key())
                    .put("stamp", precondition.modRevision());
        }
        ArrayNode operations = body.putArray("apply");
        mutations.forEach(mutation -> encode(mutation, operations.addObject()));
        return Json.write(body);
    }

    private static void encode(Mutation mutation, ObjectNode operation) {
        if (mutation.value() == null) {
            operation.put("delete", mutation.key());
            return;
        }
        operation.put("set", mutation.key()).set("data", mutation.value());
        if (mutation.grant() != 0) {
            operation.put("claim", mutation.grant());
        }
    }

    static byte[] encodeGrantRequest(double ttlS) {
        return Json.write(Json.object().put("ttlMs", Math.round(ttlS * 1000)));
    }

    // ---- answers

    static CompareAndSwapOutcome decodeTransactionOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent) {
            return new CompareAndSwapOutcome.Refused(0);
        }
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            return new CompareAndSwapOutcome.Unknown();
        }
        return switch (answer.status()) {
            case OK -> committed(answer.json());
            case CONFLICT -> conflict(answer.json());
            case BAD_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE ->
                    new CompareAndSwapOutcome.Refused(answer.status());
            // Any other status may come from a proxy, after the service had done its work.
            default -> new CompareAndSwapOutcome.Unknown();
        };
    }

    private static CompareAndSwapOutcome committed(JsonNode body) {
        JsonNode revision = body.path("generation");
        return revision.isIntegralNumber()
                ? new CompareAndSwapOutcome.Committed(revision.longValue())
                : new CompareAndSwapOutcome.Unknown();
    }

    private static CompareAndSwapOutcome conflict(JsonNode body) {
        List<String> failedKeys = new ArrayList<>();
        body.path("failed").forEach(key -> failedKeys.add(key.asText()));
        return new CompareAndSwapOutcome.Conflict(failedKeys);
    }

    static ReadResult decodePage(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answer) || answer.status() != OK) {
            return new ReadResult.Failed();
        }
        JsonNode body = answer.json();
        return new ReadResult.Read(
                decodePairs(body),
                body.path("truncated").asBoolean(),
                body.path("generation").longValue());
    }

    static ReadResult decodeChanges(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            return new ReadResult.Failed();
        }
        if (answer.status() == GONE) {
            return new ReadResult.RevisionTooOld();
        }
        if (answer.status() != OK) {
            return new ReadResult.Failed();
        }
        JsonNode body = answer.json();
        JsonNode revision = body.path("generation");
        return revision.isIntegralNumber()
                ? new ReadResult.Read(decodeEvents(body), false, revision.longValue())
                : new ReadResult.Failed();
    }

    static GrantOutcome decodeCreatedGrant(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answer && answer.status() == OK) {
            long id = answer.json().path("claim").longValue();
            return id == 0 ? new GrantOutcome.Unavailable() : new GrantOutcome.Granted(id);
        }
        return new GrantOutcome.Unavailable();
    }

    /**
     * @param id the grant that was to be renewed
     */
    static GrantOutcome decodeRenewedGrant(long id, HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            return new GrantOutcome.Unavailable();
        }
        return switch (answer.status()) {
            case OK -> new GrantOutcome.Granted(id);
            case NOT_FOUND -> new GrantOutcome.Ended();
            default -> new GrantOutcome.Unavailable();
        };
    }

    /** The keys in the answer to a reading of a range. */
    public static List<KeyValue> decodePairs(JsonNode body) {
        List<KeyValue> pairs = new ArrayList<>();
        for (JsonNode pair : body.path("pairs")) {
            long modRevision = pair.path("stamp").longValue();
            pairs.add(new KeyValue(pair.path("k").asText(), pair.get("data"), modRevision));
        }
        return pairs;
    }

    /** The changes in the answer to a watch; deleted keys have a null value. */
    public static List<KeyValue> decodeEvents(JsonNode body) {
        List<KeyValue> events = new ArrayList<>();
        for (JsonNode event : body.path("events")) {
            long modRevision = event.path("stamp").longValue();
            events.add(
                    event.has("delete")
                            ? new KeyValue(event.path("delete").asText(), null, modRevision)
                            : new KeyValue(
                                    event.path("set").asText(), event.get("data"), modRevision));
        }
        return events;
    }
}
