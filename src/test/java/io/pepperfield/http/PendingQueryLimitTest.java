package io.pepperfield.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the limit on pending queries during a query spike. */
class PendingQueryLimitTest {

    private final List<Consumer<HttpReply>> pending = new ArrayList<>();
    private final List<HttpReply> replies = new ArrayList<>();
    private final PendingQueryLimit limit =
            new PendingQueryLimit("/api/jobs/", 3, (request, answer) -> pending.add(answer));

    private void send(String method, String path) {
        limit.handle(InboundRequest.of(method, path, new byte[0]), replies::add);
    }

    @Test
    void queriesAboveTheLimitAreRefusedWithARetryDelayAndDelayNoOtherRequests() {
        for (int i = 0; i < 10; i++) {
            send("GET", "/api/jobs/run-00000" + i);
        }
        assertEquals(3, pending.size());
        assertEquals(7, replies.size());
        assertTrue(
                replies.stream()
                        .allMatch(reply -> reply.status() == 503 && reply.retryAfterS() > 0));
        send("POST", "/agent/beat");
        send("GET", "/up");
        send("POST", "/api/jobs/run-000001/cancel");
        assertEquals(
                6, pending.size(), "heartbeats, health checks and cancellations are not delayed");
        pending.remove(0).accept(HttpReply.empty(200));
        send("GET", "/api/jobs/run-000001");
        assertEquals(6, pending.size(), "a completed query frees a slot");
    }
}
