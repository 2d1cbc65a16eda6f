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
 * while the cloud's interface is down can still tell what can never run, and need not turn every
 * submission away.
 */
public final class MachineTypesRecord {

    private MachineTypesRecord() {}

    /** Encodes the types in the form kept in the state service. */
    public static JsonNode encode(Iterable<MachineType> types) {
        ArrayNode all = Json.array();
        for (MachineType t : types) {
            ObjectNode node =
                    all.addObject()
                            .put("n", t.name())
                            .put("c", t.cpus())
                            .put("g", t.gpus())
                            .put("m", t.memGb())
                            .put("d", t.cacheGb())
                            .put("f", t.fetchGbPerS())
                            .put("p", t.price())
                            .put("s", t.spotPrice())
                            .put("b", t.bootS());
            ArrayNode zones = node.putArray("z");
            t.zones().forEach(zones::add);
        }
        return all;
    }

    /** Decodes what {@link #encode} has encoded. */
    public static List<MachineType> decode(JsonNode data) {
        List<MachineType> types = new ArrayList<>();
        for (JsonNode n : data) {
            List<String> zones = new ArrayList<>();
            n.path("z").forEach(zone -> zones.add(zone.asText()));
            types.add(
                    new MachineType(
                            n.path("n").asText(),
                            n.path("c").asDouble(),
                            n.path("g").asDouble(),
                            n.path("m").asDouble(),
                            n.path("d").asDouble(),
                            n.path("f").asDouble(),
                            n.path("p").asDouble(),
                            n.path("s").asDouble(),
                            n.path("b").asDouble(),
                            zones));
        }
        return types;
    }
}
