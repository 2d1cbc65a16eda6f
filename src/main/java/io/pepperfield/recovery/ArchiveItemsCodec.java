package io.pepperfield.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes an archive entry: keys with their values and modification revisions. */
final class ArchiveItemsCodec {

    private ArchiveItemsCodec() {}

    static byte[] encode(List<KeyValue> items) {
        ArrayNode keys = Json.array();
        for (KeyValue item : items) {
            ObjectNode node =
                    keys.addObject().put("k", item.key()).put("stamp", item.modRevision());
            if (item.value() != null) {
                node.set("data", item.value());
            }
        }
        return Json.write(keys);
    }

    /** Decodes an entry; a key without data was deleted. */
    static List<KeyValue> decode(String entry, byte[] bytes) throws ArchiveException {
        JsonNode keys = Json.read(bytes);
        if (keys == null || !keys.isArray()) {
            throw new ArchiveException(entry + ": expected a JSON array of keys");
        }
        List<KeyValue> items = new ArrayList<>();
        for (JsonNode node : keys) {
            String key = node.path("k").asText();
            if (!key.startsWith(Keys.ROOT) || !node.path("stamp").isIntegralNumber()) {
                throw new ArchiveException(
                        entry + ": not a key of this service: " + node.path("k"));
            }
            items.add(new KeyValue(key, node.get("data"), node.path("stamp").longValue()));
        }
        return items;
    }
}
