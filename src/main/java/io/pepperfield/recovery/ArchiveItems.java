package io.pepperfield.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService.Item;
import java.util.ArrayList;
import java.util.List;

/** Keys with their values and revisions, as an entry of an archive holds them. */
final class ArchiveItems {

    private ArchiveItems() {}

    static byte[] write(List<Item> items) {
        ArrayNode all = Json.array();
        for (Item item : items) {
            ObjectNode node = all.addObject().put("k", item.key()).put("stamp", item.stamp());
            if (item.data() != null) {
                node.set("data", item.data());
            }
        }
        return Json.write(all);
    }

    /** Reads an entry; a key without data was deleted. */
    static List<Item> read(String entry, byte[] bytes) throws ArchiveFault {
        JsonNode all = Json.read(bytes);
        if (all == null || !all.isArray()) {
            throw new ArchiveFault(entry + ": no list of keys");
        }
        List<Item> items = new ArrayList<>();
        for (JsonNode node : all) {
            String key = node.path("k").asText();
            if (!key.startsWith(Keys.ROOT) || !node.path("stamp").isIntegralNumber()) {
                throw new ArchiveFault(entry + ": not a key of this service: " + node.path("k"));
            }
            items.add(new Item(key, node.get("data"), node.path("stamp").longValue()));
        }
        return items;
    }
}
