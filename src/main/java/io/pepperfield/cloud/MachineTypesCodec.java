package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the durable list of machine types, with the prices last read. With this list
 * a controller that starts while the cloud provider is unavailable can still detect jobs that
 * cannot run on any machine type, and need not refuse every submission.
 */
public final class MachineTypesCodec {

    private MachineTypesCodec() {}

    /** Encodes the machine types for the key-value store. */
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

    /** Decodes machine types encoded by {@link #encode}. */
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
