package io.pepperfield.jobs;

import io.pepperfield.http.Json;
import io.pepperfield.node.Loop;
import io.pepperfield.store.StateService;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Submissions beyond what can be written while their users wait. */
class OnceTest implements Loop, StateService {

    private final List<List<String>> written = new ArrayList<>();
    private final List<String> said = new ArrayList<>();
    private final Once once = new Once(this, this, Urgency.JOB, 4, 40_000, 2);
    private Consumer<TxnResult> underWay;
    private double now;

    private void ask(String key) {
        once.create(key, Json.object(), result -> said.add(key + " " + result));
        once.flush();
    }

    @Test void aQueueIsNoLongerThanItsUsersWaitAndTheRestIsToldAtOnce() {
        ask("a");
        for (int i = 0; i < 20; i++) {
            ask("b" + i);
        }
        // Three seconds' worth of two a second wait behind the first; the others are told to come back.
        assertEquals(14, said.size());
        // The answer comes so late that those who waited have gone: what they asked for again comes next, not their queue.
        now = 4;
        said.clear();
        underWay.accept(new TxnResult.Committed(1));
        assertEquals(List.of("a CREATED", "b0 TOO_MANY", "b1 TOO_MANY", "b2 TOO_MANY", "b3 TOO_MANY", "b4 TOO_MANY",
                "b5 TOO_MANY"), said);
        ask("b7");
        assertEquals(List.of(List.of("a"), List.of("b7")), written);
    }

    @Test void whoAsksAgainWhileTheFirstRequestWaitsIsAnsweredWithIt() {
        ask("a");
        ask("b");
        ask("b");
        underWay.accept(new TxnResult.Committed(1));
        underWay.accept(new TxnResult.Committed(2));
        assertEquals(List.of("a CREATED", "b CREATED", "b CREATED"), said);
        assertEquals(List.of(List.of("a"), List.of("b")), written);
    }

    @Test void whatFailedForAnothersSakeIsTriedAgain() {
        ask("a");
        ask("b");
        ask("c");
        underWay.accept(new TxnResult.Committed(1));
        underWay.accept(new TxnResult.Conflict(List.of("b")));
        assertEquals(List.of("a CREATED", "b EXISTS"), said);
        underWay.accept(new TxnResult.Committed(2));
        assertEquals(List.of("a CREATED", "b EXISTS", "c CREATED"), said);
    }

    @Override public void txn(Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done) {
        written.add(changes.stream().map(Change::key).toList());
        underWay = done;
    }

    @Override public void range(String after, Consumer<ReadResult> done) { }

    @Override public void follow(long since, double holdS, Consumer<ReadResult> done) { }

    @Override public void grant(double ttlS, Consumer<GrantResult> done) { }

    @Override public void touch(long id, Consumer<GrantResult> done) { }

    @Override public void endGrant(long id) { }

    @Override public double now() {
        return now;
    }

    @Override public long wallMs() {
        return 0;
    }

    @Override public void post(Runnable command) { }

    @Override public void after(double seconds, Runnable command) { }
}
