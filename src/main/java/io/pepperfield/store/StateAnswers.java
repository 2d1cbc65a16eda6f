package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.StateService.Item;
import java.util.ArrayList;
import java.util.List;

/** Reads the bodies of the state service's answers. */
public final class StateAnswers {

    private StateAnswers() {}

    /** The keys in the answer to a reading of a range. */
    public static List<Item> pairs(JsonNode body) {
        List<Item> items = new ArrayList<>();
        for (JsonNode pair : body.path("pairs")) {
            long stamp = pair.path("stamp").longValue();
            items.add(new Item(pair.path("k").asText(), pair.get("data"), stamp));
        }
        return items;
    }

    /** The changes in the answer to a follow; deleted keys have null data. */
    public static List<Item> events(JsonNode body) {
        List<Item> items = new ArrayList<>();
        for (JsonNode event : body.path("events")) {
            long stamp = event.path("stamp").longValue();
            items.add(
                    event.has("delete")
                            ? new Item(event.path("delete").asText(), null, stamp)
                            : new Item(event.path("set").asText(), event.get("data"), stamp));
        }
        return items;
    }
}
