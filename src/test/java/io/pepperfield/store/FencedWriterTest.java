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

/** In which order the leader's changes go, two in a transaction here. */
class FencedWriterTest {

    private static final Runnable NO_CALLBACK = () -> {};

    private final RecordingKeyValueStore state = new RecordingKeyValueStore();
    private final Replica replica = new Replica((key, data, stamp) -> {});
    private final FencedWriter writer =
            new FencedWriter(
                    state,
                    state,
                    replica,
                    new ReplicaSynchronizer(state, state, replica, 1, 1),
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

    private void mark(String key, Priority priority) {
        writer.enqueue(key, priority, Json::object);
    }

    private void answered() {
        state.pendingCallback.accept(
                new KeyValueStore.CompareAndSwapOutcome.Committed(state.writtenKeys.size()));
    }

    @Test
    void writesAreSentByPriorityAndBackgroundWritesAfterTheirDelay() {
        mark("completed", Priority.BACKGROUND);
        mark("end", Priority.FINAL_STATE);
        mark("start 1", Priority.INTENT);
        mark("start 2", Priority.INTENT);
        writer.flush();
        answered();
        assertEquals(List.of(List.of("start 1", "start 2"), List.of("end")), state.writtenKeys);
        answered();
        state.now = 2;
        mark("start 3", Priority.INTENT);
        writer.flush();
        assertEquals(List.of("start 3", "completed"), state.writtenKeys.get(2));
    }

    @Test
    void continuousIntentsDoNotStarveLowerPriorities() {
        mark("end", Priority.FINAL_STATE);
        mark("completed", Priority.BACKGROUND);
        for (int i = 0; i < 4; i++) {
            mark("start " + i, Priority.INTENT);
        }
        writer.flush();
        for (int i = 4; i < 12; i++) {
            state.now += 1;
            mark("start " + i, Priority.INTENT);
            mark("again " + i, Priority.INTENT);
            answered();
        }
        assertEquals(
                true,
                state.writtenKeys.stream().anyMatch(keys -> keys.contains("end")),
                state.writtenKeys.toString());
        assertEquals(
                true,
                state.writtenKeys.stream().anyMatch(keys -> keys.contains("completed")),
                state.writtenKeys.toString());
    }

    @Test
    void batchedIntentsAreMergedUntilTheBatchDelayHasPassed() {
        mark("swarm", Priority.BATCHED);
        mark("swarm", Priority.BATCHED);
        writer.flush();
        assertEquals(List.of(), state.writtenKeys);
        mark("start", Priority.INTENT);
        writer.flush();
        mark("swarm", Priority.BATCHED);
        state.now += 1;
        answered();
        assertEquals(List.of(List.of("start"), List.of("swarm")), state.writtenKeys);
    }

    @Test
    void anIntentSendsThePendingBackgroundWriteOfItsKeyAtOnce() {
        mark("chunk", Priority.BACKGROUND);
        writer.flush();
        assertEquals(List.of(), state.writtenKeys);
        mark("chunk", Priority.INTENT);
        writer.flush();
        assertEquals(List.of(List.of("chunk")), state.writtenKeys);
    }

    @Test
    void anIntentRequiresThatItsJobHasNoFinalState() {
        boolean[] known = new boolean[1];
        writer.enqueue(
                "run 1",
                Priority.INTENT,
                () -> Map.of("run 1", Json.object()),
                () -> known[0] ? List.of() : List.of("end 1"),
                NO_CALLBACK);
        writer.flush();
        assertEquals(List.of("run 1", "end 1"), state.absentKeys.get(0));
        // The cancellation that refused it is known by the next try, which makes durable that
        // nothing was started.
        known[0] = true;
        writer.enqueue("run 1", Priority.INTENT, Json::object);
        answered();
        assertEquals(List.of(List.of("run 1"), List.of("run 1")), state.writtenKeys);
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
        // The leader key, and a key and five final states for each: two changes allow eight guards.
        assertEquals(List.of(List.of("run 1")), state.writtenKeys);
        answered();
        assertEquals(List.of(List.of("run 1"), List.of("run 2")), state.writtenKeys);
    }

    @Test
    void aPermanentlyRefusedWriteDoesNotBlockOthers() {
        mark("stored larger", Priority.INTENT);
        mark("run 1", Priority.INTENT);
        writer.flush();
        // A limit has fallen without notice, and one of the two is beyond it: each is tried by
        // itself.
        refused();
        refused();
        assertEquals(List.of("stored larger", "run 1"), state.writtenKeys.get(0));
        assertEquals(List.of("stored larger"), state.writtenKeys.get(1));
        assertEquals(List.of("run 1"), state.writtenKeys.get(2));
        answered();
        assertEquals(1, writer.pendingCount());
        state.now += 2;
        mark("run 2", Priority.INTENT);
        writer.flush();
        assertEquals(
                List.of("stored larger", "run 2"),
                state.writtenKeys.get(3),
                "tried again once it may have changed");
    }

    @Test
    void aPermanentlyRefusedWriteIsSplitAndSentInOneTransaction() {
        boolean[] divided = new boolean[1];
        List<String> effects = new ArrayList<>();
        FencedWriter.Content content =
                new FencedWriter.Content() {
                    @Override
                    public Map<String, JsonNode> values() {
                        Map<String, JsonNode> values = new LinkedHashMap<>();
                        values.put("run 1", Json.object());
                        if (divided[0]) {
                            values.put("run 1b", Json.object());
                        }
                        return values;
                    }

                    @Override
                    public boolean split() {
                        boolean possible = !divided[0];
                        divided[0] = true;
                        return possible;
                    }
                };
        writer.enqueue("run 1", Priority.INTENT, content, List::of, () -> effects.add("start"));
        writer.flush();
        mark("run 2", Priority.INTENT);
        refused();
        // Two changes are allowed: the parts of the one leave together, and nothing beside them.
        assertEquals(List.of(List.of("run 1"), List.of("run 1", "run 1b")), state.writtenKeys);
        assertEquals(
                List.of("run 1", "run 1b"), state.absentKeys.get(1), "guarded by their stamps");
        assertEquals(List.of(), effects);
        answered();
        assertEquals(List.of("start"), effects);
        assertEquals(List.of("run 2"), state.writtenKeys.get(2));
    }

    private void refused() {
        state.pendingCallback.accept(new KeyValueStore.CompareAndSwapOutcome.Refused(400));
        state.pass();
    }
}
