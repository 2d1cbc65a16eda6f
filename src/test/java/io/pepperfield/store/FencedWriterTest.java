package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.standin.RecordingKeyValueStore;
import io.pepperfield.store.FencedWriter.Priority;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Checks the order and grouping of the leader's writes, with at most two mutations per transaction.
 */
class FencedWriterTest {

    private static final Runnable NO_CALLBACK = () -> {};

    private final RecordingKeyValueStore store = new RecordingKeyValueStore();
    private final Replica replica = new Replica((key, value, modRevision) -> {});
    private final FencedWriter writer =
            new FencedWriter(
                    store,
                    store,
                    replica,
                    new ReplicaSynchronizer(store, store, replica, 1, 1),
                    new FencedWriter.Fence() {
                        @Override
                        public boolean holdsValidLease() {
                            return true;
                        }

                        @Override
                        public KeyValueStore.Precondition fencingPrecondition() {
                            return new KeyValueStore.Precondition("leader", 1);
                        }
                    },
                    TransactionLimits.serviceMaximum(2),
                    1,
                    2);

    private void enqueue(String key, Priority priority) {
        writer.enqueue(key, priority, Json::object);
    }

    private void commitPending() {
        store.pendingCallback.accept(
                new KeyValueStore.CompareAndSwapOutcome.Committed(store.writtenKeys.size()));
    }

    @Test
    void writesAreSentByPriorityAndBackgroundWritesAfterTheirDelay() {
        enqueue("completed", Priority.BACKGROUND);
        enqueue("end", Priority.FINAL_STATE);
        enqueue("start 1", Priority.INTENT);
        enqueue("start 2", Priority.INTENT);
        writer.flush();
        commitPending();
        assertEquals(List.of(List.of("start 1", "start 2"), List.of("end")), store.writtenKeys);
        commitPending();
        store.now = 2;
        enqueue("start 3", Priority.INTENT);
        writer.flush();
        assertEquals(List.of("start 3", "completed"), store.writtenKeys.get(2));
    }

    @Test
    void continuousIntentsDoNotStarveLowerPriorities() {
        enqueue("end", Priority.FINAL_STATE);
        enqueue("completed", Priority.BACKGROUND);
        for (int i = 0; i < 4; i++) {
            enqueue("start " + i, Priority.INTENT);
        }
        writer.flush();
        for (int i = 4; i < 12; i++) {
            store.now += 1;
            enqueue("start " + i, Priority.INTENT);
            enqueue("again " + i, Priority.INTENT);
            commitPending();
        }
        assertEquals(
                true,
                store.writtenKeys.stream().anyMatch(keys -> keys.contains("end")),
                store.writtenKeys.toString());
        assertEquals(
                true,
                store.writtenKeys.stream().anyMatch(keys -> keys.contains("completed")),
                store.writtenKeys.toString());
    }

    @Test
    void batchedIntentsAreMergedUntilTheBatchDelayHasPassed() {
        enqueue("swarm", Priority.BATCHED);
        enqueue("swarm", Priority.BATCHED);
        writer.flush();
        assertEquals(List.of(), store.writtenKeys);
        enqueue("start", Priority.INTENT);
        writer.flush();
        enqueue("swarm", Priority.BATCHED);
        store.now += 1;
        commitPending();
        assertEquals(List.of(List.of("start"), List.of("swarm")), store.writtenKeys);
    }

    @Test
    void anIntentSendsThePendingBackgroundWriteOfItsKeyAtOnce() {
        enqueue("chunk", Priority.BACKGROUND);
        writer.flush();
        assertEquals(List.of(), store.writtenKeys);
        enqueue("chunk", Priority.INTENT);
        writer.flush();
        assertEquals(List.of(List.of("chunk")), store.writtenKeys);
    }

    @Test
    void anIntentRequiresThatItsJobHasNoFinalState() {
        boolean[] finalStateKnown = new boolean[1];
        writer.enqueue(
                "run 1",
                Priority.INTENT,
                () -> Map.of("run 1", Json.object()),
                () -> finalStateKnown[0] ? List.of() : List.of("end 1"),
                NO_CALLBACK);
        writer.flush();
        assertEquals(List.of("run 1", "end 1"), store.absentKeys.get(0));
        // The final state that failed the precondition is known at the next attempt, which records
        // durably that nothing was started.
        finalStateKnown[0] = true;
        writer.enqueue("run 1", Priority.INTENT, Json::object);
        commitPending();
        assertEquals(List.of(List.of("run 1"), List.of("run 1")), store.writtenKeys);
    }

    @Test
    void transactionsStayWithinThePreconditionLimit() {
        List<String> ends = IntStream.range(0, 5).mapToObj(i -> "end " + i).toList();
        for (String key : List.of("run 1", "run 2")) {
            writer.enqueue(
                    key,
                    Priority.INTENT,
                    () -> Map.of(key, Json.object()),
                    () -> ends,
                    NO_CALLBACK);
        }
        writer.flush();
        // Two mutations allow eight preconditions: the leader key's, and for each write one for its
        // key and five for final states.
        assertEquals(List.of(List.of("run 1")), store.writtenKeys);
        commitPending();
        assertEquals(List.of(List.of("run 1"), List.of("run 2")), store.writtenKeys);
    }

    @Test
    void aPermanentlyRefusedWriteDoesNotBlockOthers() {
        enqueue("stored larger", Priority.INTENT);
        enqueue("run 1", Priority.INTENT);
        writer.flush();
        // A limit was lowered without notice and one of the two writes exceeds it: each is sent
        // individually.
        refusePending();
        refusePending();
        assertEquals(List.of("stored larger", "run 1"), store.writtenKeys.get(0));
        assertEquals(List.of("stored larger"), store.writtenKeys.get(1));
        assertEquals(List.of("run 1"), store.writtenKeys.get(2));
        commitPending();
        assertEquals(1, writer.pendingCount());
        store.now += 2;
        enqueue("run 2", Priority.INTENT);
        writer.flush();
        assertEquals(
                List.of("stored larger", "run 2"),
                store.writtenKeys.get(3),
                "retried after the delay, when it may have changed");
    }

    @Test
    void aPermanentlyRefusedWriteIsSplitAndSentInOneTransaction() {
        boolean[] split = new boolean[1];
        List<String> callbacks = new ArrayList<>();
        FencedWriter.Content content =
                new FencedWriter.Content() {
                    @Override
                    public Map<String, JsonNode> values() {
                        Map<String, JsonNode> values = new LinkedHashMap<>();
                        values.put("run 1", Json.object());
                        if (split[0]) {
                            values.put("run 1b", Json.object());
                        }
                        return values;
                    }

                    @Override
                    public boolean split() {
                        boolean possible = !split[0];
                        split[0] = true;
                        return possible;
                    }
                };
        writer.enqueue("run 1", Priority.INTENT, content, List::of, () -> callbacks.add("start"));
        writer.flush();
        enqueue("run 2", Priority.INTENT);
        refusePending();
        // Two mutations are allowed: the two parts of the split write fill one transaction.
        assertEquals(List.of(List.of("run 1"), List.of("run 1", "run 1b")), store.writtenKeys);
        assertEquals(
                List.of("run 1", "run 1b"), store.absentKeys.get(1), "both keys must be absent");
        assertEquals(List.of(), callbacks);
        commitPending();
        assertEquals(List.of("start"), callbacks);
        assertEquals(List.of("run 2"), store.writtenKeys.get(2));
    }

    private void refusePending() {
        store.pendingCallback.accept(new KeyValueStore.CompareAndSwapOutcome.Refused(400));
        store.runScheduled();
    }
}
