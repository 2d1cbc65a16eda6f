package io.pepperfield.store;

import io.pepperfield.node.Loop;
import io.pepperfield.store.StateService.Urgency;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Who waits for whom when the state service's rates are short. */
class BudgetTest implements Loop {

    private record Timer(double at, Runnable run) { }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    private final List<String> went = new ArrayList<>();
    private final Budget budget = new Budget(this);
    private double now;

    @Override public double now() {
        return now;
    }

    @Override public long wallMs() {
        return 0;
    }

    @Override public void post(Runnable command) {
        after(0, command);
    }

    @Override public void after(double seconds, Runnable command) {
        timers.add(new Timer(now + seconds, command));
    }

    private void run(double until) {
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer timer = timers.poll();
            now = timer.at;
            timer.run.run();
        }
        now = until;
    }

    private void ask(String name, Urgency urgency, int changes) {
        budget.submit(urgency, changes, 1, () -> went.add(name), () -> went.add(name + " refused"));
    }

    @Test void aLeaderThatWritesAllTheTimeKeepsNobodyElseWaiting() {
        budget.share(50, 10, 5);
        ask("starts", Urgency.RUN, 40);
        ask("more starts", Urgency.RUN, 40);
        ask("submission", Urgency.JOB, 1);
        ask("question", Urgency.READ, 0);
        run(0.05);
        assertEquals(List.of("starts", "submission", "question"), went);
    }

    @Test void whatWaitsTooLongIsRefusedHereAndNotByTheService() {
        budget.share(50, 0, 5);
        ask("rush", Urgency.JOB, 20);
        ask("late", Urgency.JOB, 1);
        run(1.5);
        assertEquals(List.of("rush", "late refused"), went);
        run(4);
        ask("again", Urgency.JOB, 1);
        assertEquals(List.of("rush", "late refused", "again"), went);
    }
}
