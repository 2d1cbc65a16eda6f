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
 * Encodes and decodes the messages of the state service's protocol; no other class uses their field
 * names. On the wire, a modification revision is called {@code stamp}, the store's revision {@code
 * generation}, a precondition {@code guard} and a grant id {@code claim}.
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

    // ---- responses

    static CompareAndSwapOutcome decodeTransactionOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent) {
            return new CompareAndSwapOutcome.Refused(0);
        }
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            return new CompareAndSwapOutcome.Unknown();
        }
        return switch (answer.status()) {
            case OK -> decodeCommitted(answer.json());
            case CONFLICT -> decodeConflict(answer.json());
            case BAD_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE ->
                    new CompareAndSwapOutcome.Refused(answer.status());
            // Any other status may come from a proxy after the service has applied the transaction.
            default -> new CompareAndSwapOutcome.Unknown();
        };
    }

    private static CompareAndSwapOutcome decodeCommitted(JsonNode body) {
        JsonNode revision = body.path("generation");
        return revision.isIntegralNumber()
                ? new CompareAndSwapOutcome.Committed(revision.longValue())
                : new CompareAndSwapOutcome.Unknown();
    }

    private static CompareAndSwapOutcome decodeConflict(JsonNode body) {
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
     * @param id the grant whose renewal was requested
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

    /** Decodes the entries of a range read response. */
    public static List<KeyValue> decodePairs(JsonNode body) {
        List<KeyValue> pairs = new ArrayList<>();
        for (JsonNode pair : body.path("pairs")) {
            long modRevision = pair.path("stamp").longValue();
            pairs.add(new KeyValue(pair.path("k").asText(), pair.get("data"), modRevision));
        }
        return pairs;
    }

    /** Decodes the changes of a watch response; deleted keys have a null value. */
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
