package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Which messages of other controllers are read, and how workers' heartbeats are embedded in them.
 */
class PeerMessagesTest {

    @Test
    void aMalformedMessageIsRefusedWhole() {
        String good =
                "{\"node\":\"worker-1\",\"life\":\"a\",\"seq\":1,\"epoch\":7,\"beats\":[[\"host-1\",1,2,3,7]],\"more\":{}}";
        assertEquals(
                1,
                PeerMessages.readBatch(Json.read(good.getBytes(StandardCharsets.UTF_8)))
                        .orElseThrow()
                        .heartbeats()
                        .size());
        for (String bad :
                List.of(
                        "",
                        "{}",
                        "[]",
                        good.replace("\"beats\"", "\"reports\""),
                        good.replace("1,2,3,7", "1,2"),
                        good.replace("\"seq\":1", "\"seq\":\"1\""),
                        good.substring(0, 40))) {
            assertEquals(
                    Optional.empty(),
                    PeerMessages.readBatch(Json.read(bad.getBytes(StandardCharsets.UTF_8))),
                    bad);
        }
    }

    @Test
    void aHeartbeatInAnotherEncodingDoesNotSpoilTheOthers() {
        String text = "{\"host\":\"host-1\"}";
        assertEquals(
                text, PeerMessages.embedded(text.getBytes(StandardCharsets.UTF_16BE)).rawValue());
        assertEquals(text, PeerMessages.embedded(text.getBytes(StandardCharsets.UTF_8)).rawValue());
    }
}
