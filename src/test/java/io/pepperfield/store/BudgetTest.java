package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.StateService.Urgency;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who waits for whom when the state service's rates are short. */
class BudgetTest {

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<String> went = new ArrayList<>();
    private final Budget budget = new Budget(loop);

    private void ask(String name, Urgency urgency, int changes) {
        budget.submit(urgency, changes, 1, () -> went.add(name), () -> went.add(name + " refused"));
    }

    @Test
    void aLeaderThatWritesAllTheTimeKeepsNobodyElseWaiting() {
        budget.share(50, 10, 5);
        ask("starts", Urgency.RUN, 40);
        ask("more starts", Urgency.RUN, 40);
        ask("submission", Urgency.JOB, 1);
        ask("question", Urgency.READ, 0);
        loop.run(0.05);
        assertEquals(List.of("starts", "submission", "question"), went);
    }

    @Test
    void whatWaitsTooLongIsRefusedHereAndNotByTheService() {
        budget.share(50, 0, 5);
        ask("rush", Urgency.JOB, 20);
        ask("late", Urgency.JOB, 1);
        loop.run(1.5);
        assertEquals(List.of("rush", "late refused"), went);
        loop.run(4);
        ask("again", Urgency.JOB, 1);
        assertEquals(List.of("rush", "late refused", "again"), went);
    }

    @Test
    void aRenewalWaitsForNothingHoweverShortTheRatesAre() {
        budget.share(2, 1, 1);
        for (int i = 0; i < 20; i++) {
            ask("question " + i, Urgency.READ, 0);
            ask("submission " + i, Urgency.JOB, 1);
            ask("start " + i, Urgency.RUN, 1);
        }
        for (int i = 0; i < 40; i++) {
            went.clear();
            ask("renewal", Urgency.GRANT, 0);
            ask("election", Urgency.GRANT, 1);
            assertEquals(List.of("renewal", "election"), went, "renewal " + i);
            loop.run(0.25 * (i + 1));
        }
        // They are charged: the others wait for as long as it takes to pay for them.
        went.clear();
        ask("question", Urgency.READ, 0);
        assertEquals(List.of(), went);
    }

    @Test
    void ratesThatFallHoldFromThenOnAndNothingSavedUpIsLeftOver() {
        budget.share(50, 40, 20);
        loop.run(2);
        budget.share(50, 10, 5);
        for (int i = 0; i < 100; i++) {
            ask("start", Urgency.RUN, 1);
            ask("submission", Urgency.JOB, 1);
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
