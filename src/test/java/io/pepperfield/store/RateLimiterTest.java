package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which requests wait for which when the state service's rates are limited. */
class RateLimiterTest {

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<String> sent = new ArrayList<>();
    private final RateLimiter rateLimiter = new RateLimiter(loop);

    private void submit(String name, RequestPriority priority, int mutations) {
        rateLimiter.submit(
                priority, mutations, 1, () -> sent.add(name), () -> sent.add(name + " refused"));
    }

    @Test
    void continuousLeaderWritesDoNotDelaySubmissionsOrReads() {
        rateLimiter.setRates(50, 10, 5);
        submit("starts", RequestPriority.LEADER_WRITE, 40);
        submit("more starts", RequestPriority.LEADER_WRITE, 40);
        submit("submission", RequestPriority.SUBMISSION, 1);
        submit("question", RequestPriority.READ, 0);
        loop.run(0.05);
        assertEquals(List.of("starts", "submission", "question"), sent);
    }

    @Test
    void requestsQueuedBeyondTheirTimeoutAreRejectedLocally() {
        rateLimiter.setRates(50, 0, 5);
        submit("rush", RequestPriority.SUBMISSION, 20);
        submit("late", RequestPriority.SUBMISSION, 1);
        loop.run(1.5);
        assertEquals(List.of("rush", "late refused"), sent);
        loop.run(4);
        submit("again", RequestPriority.SUBMISSION, 1);
        assertEquals(List.of("rush", "late refused", "again"), sent);
    }

    @Test
    void grantRequestsAreChargedButNeverQueued() {
        rateLimiter.setRates(2, 1, 1);
        for (int i = 0; i < 20; i++) {
            submit("question " + i, RequestPriority.READ, 0);
            submit("submission " + i, RequestPriority.SUBMISSION, 1);
            submit("start " + i, RequestPriority.LEADER_WRITE, 1);
        }
        for (int i = 0; i < 40; i++) {
            sent.clear();
            submit("renewal", RequestPriority.GRANT, 0);
            submit("election", RequestPriority.GRANT, 1);
            assertEquals(List.of("renewal", "election"), sent, "renewal " + i);
            loop.run(0.25 * (i + 1));
        }
        // They are charged: other requests wait until the budget has been refilled.
        sent.clear();
        submit("question", RequestPriority.READ, 0);
        assertEquals(List.of(), sent);
    }

    @Test
    void loweredRatesApplyAtOnceAndCapSavedTokens() {
        rateLimiter.setRates(50, 40, 20);
        loop.run(2);
        rateLimiter.setRates(50, 10, 5);
        for (int i = 0; i < 100; i++) {
            submit("start", RequestPriority.LEADER_WRITE, 1);
            submit("submission", RequestPriority.SUBMISSION, 1);
        }
        loop.run(2.5);
        // One second's worth of saved tokens, and the refill of half a second.
        long starts = sent.stream().filter("start"::equals).count();
        long submissions = sent.stream().filter("submission"::equals).count();
        assertEquals(true, starts <= 10 + 6, "starts " + starts);
        assertEquals(true, starts >= 10, "starts " + starts);
        assertEquals(true, submissions <= 5 + 3, "submissions " + submissions);
        assertEquals(true, submissions >= 5, "submissions " + submissions);
    }
}
