package io.pepperfield.http;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON encoding and decoding for all packages. */
public final class Json {

    // Rejects trailing text and duplicate names, so that a malformed body is not partially read.
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            new JsonFactoryBuilder()
                                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    /** Decodes a JSON value; returns a missing node if the bytes are not exactly one value. */
    public static JsonNode read(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException | RuntimeException e) {
            return MissingNode.getInstance();
        }
    }

    /** Encodes a JSON tree as UTF-8. */
    public static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree cannot be serialized", e);
        }
    }

    /** Creates an empty object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Creates an empty array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }
}
