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

/** The one JSON reader and writer of the program. */
public final class Json {

    // A body with text after its value, or with one name twice, is malformed and must not be read
    // halfway.
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            new JsonFactoryBuilder()
                                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    /** The value read, or a missing node where the bytes are not one JSON value. */
    public static JsonNode read(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException | RuntimeException e) {
            return MissingNode.getInstance();
        }
    }

    /** Encodes a tree as UTF-8. */
    public static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree cannot fail to be written", e);
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
