package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import java.util.LinkedHashSet;
import java.util.Set;

/** A rental request: idempotency key, requested instances, and granted instances still rented. */
final class RentalRequest {

    private static final String MACHINE_TYPE = "t";
    private static final String SPOT = "p";
    private static final String ZONE = "z";
    private static final String COUNT = "n";
    private static final String REQUESTED_AT_MS = "at";
    private static final String ANSWERED = "a";
    private static final String INSTANCES = "h";

    final String requestId;
    final InstancePool pool;
    final String zone;
    final int count;

    /** Wall-clock time of the request in milliseconds. */
    final long requestedAtMs;

    /** The granted instances that have not been released yet. */
    final Set<String> instanceNames = new LinkedHashSet<>();

    /** Whether the provider has granted or refused the request. */
    boolean answered;

    RentalRequest(String requestId, InstancePool pool, String zone, int count, long requestedAtMs) {
        this.requestId = requestId;
        this.pool = pool;
        this.zone = zone;
        this.count = count;
        this.requestedAtMs = requestedAtMs;
    }

    /** Returns the key of the durable record. */
    String key() {
        return Keys.RENTAL_PREFIX + requestId;
    }

    /** Whether the request was answered and all its instances are released. */
    boolean isFinished() {
        return answered && instanceNames.isEmpty();
    }

    /** Encodes the request as a durable record. */
    JsonNode encode() {
        ObjectNode node =
                Json.object()
                        .put(MACHINE_TYPE, pool.type())
                        .put(SPOT, pool.spot())
                        .put(ZONE, zone)
                        .put(COUNT, count)
                        .put(REQUESTED_AT_MS, requestedAtMs)
                        .put(ANSWERED, answered);
        ArrayNode instances = node.putArray(INSTANCES);
        instanceNames.forEach(instances::add);
        return node;
    }

    /** Decodes a durable record. */
    static RentalRequest decode(String requestId, JsonNode data) {
        RentalRequest request =
                new RentalRequest(
                        requestId,
                        new InstancePool(
                                data.path(MACHINE_TYPE).asText(), data.path(SPOT).asBoolean()),
                        data.path(ZONE).asText(),
                        data.path(COUNT).asInt(),
                        data.path(REQUESTED_AT_MS).asLong());
        request.answered = data.path(ANSWERED).asBoolean();
        data.path(INSTANCES).forEach(name -> request.instanceNames.add(name.asText()));
        return request;
    }
}
