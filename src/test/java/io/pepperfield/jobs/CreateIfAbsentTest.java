package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.http.Json;
import io.pepperfield.standin.RecordingKeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Submissions beyond the number that can be written before their clients time out. */
class CreateIfAbsentTest {

    private final RecordingKeyValueStore store = new RecordingKeyValueStore();
    private final List<String> results = new ArrayList<>();
    private final CreateIfAbsent creator =
            new CreateIfAbsent(store, store, RequestPriority.SUBMISSION, 4, 40_000, 2);

    private void create(String key) {
        creator.create(key, Json.object(), result -> results.add(key + " " + result));
        creator.flush();
    }

    @Test
    void requestsBeyondTheQueueLimitAreRefusedAtOnceAndExpiredOnesAreNotWritten() {
        create("a");
        for (int i = 0; i < 20; i++) {
            create("b" + i);
        }
        // At 2 mutations/s and a maximum queue wait of 3 s, 6 creations queue behind the one in
        // flight; the other 14 are refused.
        assertEquals(14, results.size());
        // The transaction completes after the queued creations have expired, so they are refused,
        // and the next transaction contains only the request that arrived later.
        store.now = 4;
        results.clear();
        store.pendingCallback.accept(new CompareAndSwapOutcome.Committed(1));
        assertEquals(
                List.of(
                        "a CREATED",
                        "b0 OVERLOADED",
                        "b1 OVERLOADED",
                        "b2 OVERLOADED",
                        "b3 OVERLOADED",
                        "b4 OVERLOADED",
                        "b5 OVERLOADED"),
                results);
        create("b7");
        assertEquals(List.of(List.of("a"), List.of("b7")), store.writtenKeys);
    }

    @Test
    void aDuplicateOfAQueuedRequestSharesItsResult() {
        create("a");
        create("b");
        create("b");
        store.pendingCallback.accept(new CompareAndSwapOutcome.Committed(1));
        store.pendingCallback.accept(new CompareAndSwapOutcome.Committed(2));
        assertEquals(List.of("a CREATED", "b CREATED", "b CREATED"), results);
        assertEquals(List.of(List.of("a"), List.of("b")), store.writtenKeys);
    }

    @Test
    void creationsThatFailedBecauseOfAnotherKeyAreRetried() {
        create("a");
        create("b");
        create("c");
        store.pendingCallback.accept(new CompareAndSwapOutcome.Committed(1));
        store.pendingCallback.accept(new CompareAndSwapOutcome.Conflict(List.of("b")));
        assertEquals(List.of("a CREATED", "b EXISTS"), results);
        store.pendingCallback.accept(new CompareAndSwapOutcome.Committed(2));
        assertEquals(List.of("a CREATED", "b EXISTS", "c CREATED"), results);
    }

    @Test
    void transactionSizeIsLimitedInBytesAlsoForNonAsciiText() {
        create("a");
        // 3 bytes per character: two such values exceed the size limit of one transaction, which
        // the service would reject as a whole.
        for (String key : List.of("b", "c", "d")) {
            creator.create(
                    key,
                    Json.object().put("w", "\u754c".repeat(7_000)),
                    result -> results.add(key + " " + result));
        }
        for (int i = 1; i <= 4; i++) {
            store.pendingCallback.accept(new CompareAndSwapOutcome.Committed(i));
        }
        assertEquals(
                List.of(List.of("a"), List.of("b"), List.of("c"), List.of("d")), store.writtenKeys);
        assertEquals(List.of("a CREATED", "b CREATED", "c CREATED", "d CREATED"), results);
    }
}
