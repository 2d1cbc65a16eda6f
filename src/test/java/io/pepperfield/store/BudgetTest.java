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
}
