package io.pepperfield.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The HTTP reply that a worker receives for each verdict on its heartbeat. */
class HeartbeatVerdictTest {

    private static String body(HttpReply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource({
        "MALFORMED,400,not a report",
        "PROCESS_PAUSED,503,has stood still",
        "NEWER_FENCING_TOKEN,503,a newer token is about",
        "STORE_UNREACHABLE,503,not in touch with the state service",
        "LEADER_UNREACHABLE,503,not in touch with the leader",
        "OUTDATED_HEARTBEAT,503,an old report",
        "NO_FENCING_TOKEN,503,no valid token is known here",
        "LEASE_EXHAUSTED,503,no leader answers"
    })
    void refusalIsEncodedAsItsStatusAndMessage(
            HeartbeatVerdict.Refused refusal, int status, String message) {
        HttpReply reply = refusal.toReply();
        HttpReply expected = HttpReply.error(status, message);
        assertEquals(status, reply.status());
        assertEquals(body(expected), body(reply));
    }

    @Test
    void redirectNamesTheController() {
        HttpReply reply = new HeartbeatVerdict.Redirected("node-1").toReply();
        assertEquals(421, reply.status());
        assertEquals("{\"manager\":\"node-1\"}", body(reply));
    }

    @Test
    void acceptedHeartbeatIsAnsweredWithTheLeadersOrdersAndToken() {
        HttpReply reply =
                new HeartbeatVerdict.Accepted(
                                WorkerProtocol.heartbeatReply(
                                        new FencingToken(41),
                                        Json.read("[1]".getBytes(StandardCharsets.UTF_8))))
                        .toReply();
        assertEquals(200, reply.status());
        assertEquals("{\"epoch\":41,\"orders\":[1]}", body(reply));
    }
}
