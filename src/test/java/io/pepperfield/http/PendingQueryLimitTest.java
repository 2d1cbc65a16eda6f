package io.pepperfield.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Many times as many questions as usual. */
class PendingQueryLimitTest {

    private final List<Consumer<HttpReply>> waiting = new ArrayList<>();
    private final List<HttpReply> said = new ArrayList<>();
    private final PendingQueryLimit admission =
            new PendingQueryLimit("/api/jobs/", 3, (request, answer) -> waiting.add(answer));

    private void call(String method, String path) {
        admission.handle(InboundRequest.of(method, path, new byte[0]), said::add);
    }

    @Test
    void whatIsBeyondTheBoundIsToldAtOnceWhenToComeBackAndDelaysNobody() {
        for (int i = 0; i < 10; i++) {
            call("GET", "/api/jobs/run-00000" + i);
        }
        assertEquals(3, waiting.size());
        assertEquals(7, said.size());
        assertTrue(
                said.stream().allMatch(reply -> reply.status() == 503 && reply.retryAfterS() > 0));
        call("POST", "/agent/beat");
        call("GET", "/up");
        call("POST", "/api/jobs/run-000001/cancel");
        assertEquals(6, waiting.size(), "reports, health and cancellations are not held up");
        waiting.remove(0).accept(HttpReply.empty(200));
        call("GET", "/api/jobs/run-000001");
        assertEquals(6, waiting.size(), "an answer makes room for a question");
    }
}
