package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who waits for whom when the state service's rates are short. */
class RateLimiterTest {

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<String> went = new ArrayList<>();
    private final RateLimiter budget = new RateLimiter(loop);

    private void ask(String name, RequestPriority urgency, int changes) {
        budget.submit(urgency, changes, 1, () -> went.add(name), () -> went.add(name + " refused"));
    }

    @Test
    void continuousLeaderWritesDoNotDelaySubmissionsOrReads() {
        budget.setRates(50, 10, 5);
        ask("starts", RequestPriority.LEADER_WRITE, 40);
        ask("more starts", RequestPriority.LEADER_WRITE, 40);
        ask("submission", RequestPriority.SUBMISSION, 1);
        ask("question", RequestPriority.READ, 0);
        loop.run(0.05);
        assertEquals(List.of("starts", "submission", "question"), went);
    }

    @Test
    void requestsQueuedBeyondTheirTimeoutAreRejectedLocally() {
        budget.setRates(50, 0, 5);
        ask("rush", RequestPriority.SUBMISSION, 20);
        ask("late", RequestPriority.SUBMISSION, 1);
        loop.run(1.5);
        assertEquals(List.of("rush", "late refused"), went);
        loop.run(4);
        ask("again", RequestPriority.SUBMISSION, 1);
        assertEquals(List.of("rush", "late refused", "again"), went);
    }

    @Test
    void grantRequestsAreChargedButNeverQueued() {
        budget.setRates(2, 1, 1);
        for (int i = 0; i < 20; i++) {
            ask("question " + i, RequestPriority.READ, 0);
            ask("submission " + i, RequestPriority.SUBMISSION, 1);
            ask("start " + i, RequestPriority.LEADER_WRITE, 1);
        }
        for (int i = 0; i < 40; i++) {
            went.clear();
            ask("renewal", RequestPriority.GRANT, 0);
            ask("election", RequestPriority.GRANT, 1);
            assertEquals(List.of("renewal", "election"), went, "renewal " + i);
            loop.run(0.25 * (i + 1));
        }
        // They are charged: the others wait for as long as it takes to pay for them.
        went.clear();
        ask("question", RequestPriority.READ, 0);
        assertEquals(List.of(), went);
    }

    @Test
    void loweredRatesApplyAtOnceAndCapSavedTokens() {
        budget.setRates(50, 40, 20);
        loop.run(2);
        budget.setRates(50, 10, 5);
        for (int i = 0; i < 100; i++) {
            ask("start", RequestPriority.LEADER_WRITE, 1);
            ask("submission", RequestPriority.SUBMISSION, 1);
        }
        loop.run(2.5);
        // A second's worth, and what half a second brings.
        long starts = went.stream().filter("start"::equals).count();
        long submissions = went.stream().filter("submission"::equals).count();
        assertEquals(true, starts <= 10 + 6, "starts " + starts);
        assertEquals(true, starts >= 10, "starts " + starts);
        assertEquals(true, submissions <= 5 + 3, "submissions " + submissions);
        assertEquals(true, submissions >= 5, "submissions " + submissions);
    }
}
