package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.http.Json;
import io.pepperfield.standin.RecordingKeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Submissions beyond what can be written while their users wait. */
class CreateIfAbsentTest {

    private final RecordingKeyValueStore state = new RecordingKeyValueStore();
    private final List<String> said = new ArrayList<>();
    private final CreateIfAbsent once =
            new CreateIfAbsent(state, state, RequestPriority.SUBMISSION, 4, 40_000, 2);

    private void ask(String key) {
        once.create(key, Json.object(), result -> said.add(key + " " + result));
        once.flush();
    }

    @Test
    void aQueueIsNoLongerThanItsUsersWaitAndTheRestIsToldAtOnce() {
        ask("a");
        for (int i = 0; i < 20; i++) {
            ask("b" + i);
        }
        // Three seconds' worth of two a second wait behind the first; the others are told to come
        // back.
        assertEquals(14, said.size());
        // The answer comes so late that those who waited have gone: what they asked for again comes
        // next, not their queue.
        state.now = 4;
        said.clear();
        state.pendingCallback.accept(new CompareAndSwapOutcome.Committed(1));
        assertEquals(
                List.of(
                        "a CREATED",
                        "b0 OVERLOADED",
                        "b1 OVERLOADED",
                        "b2 OVERLOADED",
                        "b3 OVERLOADED",
                        "b4 OVERLOADED",
                        "b5 OVERLOADED"),
                said);
        ask("b7");
        assertEquals(List.of(List.of("a"), List.of("b7")), state.writtenKeys);
    }

    @Test
    void whoAsksAgainWhileTheFirstRequestWaitsIsAnsweredWithIt() {
        ask("a");
        ask("b");
        ask("b");
        state.pendingCallback.accept(new CompareAndSwapOutcome.Committed(1));
        state.pendingCallback.accept(new CompareAndSwapOutcome.Committed(2));
        assertEquals(List.of("a CREATED", "b CREATED", "b CREATED"), said);
        assertEquals(List.of(List.of("a"), List.of("b")), state.writtenKeys);
    }

    @Test
    void whatFailedForAnothersSakeIsTriedAgain() {
        ask("a");
        ask("b");
        ask("c");
        state.pendingCallback.accept(new CompareAndSwapOutcome.Committed(1));
        state.pendingCallback.accept(new CompareAndSwapOutcome.Conflict(List.of("b")));
        assertEquals(List.of("a CREATED", "b EXISTS"), said);
        state.pendingCallback.accept(new CompareAndSwapOutcome.Committed(2));
        assertEquals(List.of("a CREATED", "b EXISTS", "c CREATED"), said);
    }

    @Test
    void aTransactionHoldsNoMoreBytesThanTheServiceTakesWhateverTheScript() {
        ask("a");
        // Three bytes a letter: two such values are too much for one transaction here, which would
        // be refused for all in it.
        for (String key : List.of("b", "c", "d")) {
            once.create(
                    key,
                    Json.object().put("w", "\u754c".repeat(7_000)),
                    result -> said.add(key + " " + result));
        }
        for (int i = 1; i <= 4; i++) {
            state.pendingCallback.accept(new CompareAndSwapOutcome.Committed(i));
        }
        assertEquals(
                List.of(List.of("a"), List.of("b"), List.of("c"), List.of("d")), state.writtenKeys);
        assertEquals(List.of("a CREATED", "b CREATED", "c CREATED", "d CREATED"), said);
    }
}
