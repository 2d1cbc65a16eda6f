package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Validation of other controllers' messages, and embedding of workers' heartbeats in messages. */
class PeerMessagesTest {

    @Test
    void malformedBatchIsRefusedAsAWhole() {
        String valid =
                "{\"node\":\"worker-1\",\"life\":\"a\",\"seq\":1,\"epoch\":7,\"beats\":[[\"host-1\",1,2,3,7]],\"more\":{}}";
        assertEquals(
                1,
                PeerMessages.readBatch(Json.read(valid.getBytes(StandardCharsets.UTF_8)))
                        .orElseThrow()
                        .heartbeats()
                        .size());
        for (String malformed :
                List.of(
                        "",
                        "{}",
                        "[]",
                        valid.replace("\"beats\"", "\"reports\""),
                        valid.replace("1,2,3,7", "1,2"),
                        valid.replace("\"seq\":1", "\"seq\":\"1\""),
                        valid.substring(0, 40))) {
            assertEquals(
                    Optional.empty(),
                    PeerMessages.readBatch(Json.read(malformed.getBytes(StandardCharsets.UTF_8))),
                    malformed);
        }
    }

    @Test
    void embeddedHeartbeatIsReencodedAsUtf8() {
        String text = "{\"host\":\"host-1\"}";
        assertEquals(
                text, PeerMessages.embedded(text.getBytes(StandardCharsets.UTF_16BE)).rawValue());
        assertEquals(text, PeerMessages.embedded(text.getBytes(StandardCharsets.UTF_8)).rawValue());
    }
}
