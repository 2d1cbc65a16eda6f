package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * The durable list of machine types, with the prices as they were: a controller that is started
 * while the cloud's interface is down can still tell which jobs can never run, and need not refuse
 * every submission.
 */
public final class MachineTypesCodec {

    private MachineTypesCodec() {}

    /** Encodes the types in the form kept in the key-value store. */
    public static JsonNode encode(Iterable<MachineType> types) {
        ArrayNode encoded = Json.array();
        for (MachineType type : types) {
            ObjectNode node =
                    encoded.addObject()
                            .put("n", type.name())
                            .put("c", type.cpus())
                            .put("g", type.gpus())
                            .put("m", type.memGb())
                            .put("d", type.cacheGb())
                            .put("f", type.fetchGbPerS())
                            .put("p", type.price())
                            .put("s", type.spotPrice())
                            .put("b", type.bootS());
            ArrayNode zones = node.putArray("z");
            type.zones().forEach(zones::add);
        }
        return encoded;
    }

    /** Decodes what {@link #encode} has encoded. */
    public static List<MachineType> decode(JsonNode data) {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode item : data) {
            List<String> zones = new ArrayList<>();
            item.path("z").forEach(zone -> zones.add(zone.asText()));
            types.add(
                    new MachineType(
                            item.path("n").asText(),
                            item.path("c").asDouble(),
                            item.path("g").asDouble(),
                            item.path("m").asDouble(),
                            item.path("d").asDouble(),
                            item.path("f").asDouble(),
                            item.path("p").asDouble(),
                            item.path("s").asDouble(),
                            item.path("b").asDouble(),
                            zones));
        }
        return types;
    }
}
