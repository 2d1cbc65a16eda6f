package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.KeyValueStore.KeyValue;
import java.util.ArrayList;
import java.util.List;

/** Reads the bodies of the state service's answers. */
public final class KeyValueResponses {

    private KeyValueResponses() {}

    /** The keys in the answer to a reading of a range. */
    public static List<KeyValue> pairs(JsonNode body) {
        List<KeyValue> items = new ArrayList<>();
        for (JsonNode pair : body.path("pairs")) {
            long stamp = pair.path("stamp").longValue();
            items.add(new KeyValue(pair.path("k").asText(), pair.get("data"), stamp));
        }
        return items;
    }

    /** The changes in the answer to a follow; deleted keys have null data. */
    public static List<KeyValue> events(JsonNode body) {
        List<KeyValue> items = new ArrayList<>();
        for (JsonNode event : body.path("events")) {
            long stamp = event.path("stamp").longValue();
            items.add(
                    event.has("delete")
                            ? new KeyValue(event.path("delete").asText(), null, stamp)
                            : new KeyValue(event.path("set").asText(), event.get("data"), stamp));
        }
        return items;
    }
}
