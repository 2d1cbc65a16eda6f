package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.standin.Transactions;
import io.pepperfield.store.Writer.Priority;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** In which order the leader's changes go, two in a transaction here. */
class WriterTest {

    private final Transactions state = new Transactions();
    private final Replica replica = new Replica((key, data, stamp) -> {});
    private final Writer writer =
            new Writer(
                    state,
                    state,
                    replica,
                    new Sync(state, state, replica, 1, 1),
                    new Writer.Lead() {
                        @Override
                        public boolean confirmed() {
                            return true;
                        }

                        @Override
                        public StateService.Guard guard() {
                            return new StateService.Guard("leader", 1);
                        }
                    },
                    TransactionLimits.all(2),
                    1,
                    2);

    private void mark(String key, Priority priority) {
        writer.mark(key, priority, Json::object, null, null);
    }

    private void answered() {
        state.underWay.accept(new StateService.TxnResult.Committed(state.written.size()));
    }

    @Test
    void intentsThenEndsThenWhatHasGathered() {
        mark("completed", Priority.PATIENT);
        mark("end", Priority.END);
        mark("start 1", Priority.INTENT);
        mark("start 2", Priority.INTENT);
        writer.flush();
        answered();
        assertEquals(List.of(List.of("start 1", "start 2"), List.of("end")), state.written);
        answered();
        state.now = 2;
        mark("start 3", Priority.INTENT);
        writer.flush();
        assertEquals(List.of("start 3", "completed"), state.written.get(2));
    }

    @Test
    void whatKeepsComingHoldsNothingBackForEver() {
        mark("end", Priority.END);
        mark("completed", Priority.PATIENT);
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
                state.written.stream().anyMatch(keys -> keys.contains("end")),
                state.written.toString());
        assertEquals(
                true,
                state.written.stream().anyMatch(keys -> keys.contains("completed")),
                state.written.toString());
    }

    @Test
    void intentsOfTheLowestRankAreGatheredForAMoment() {
        mark("swarm", Priority.LATER);
        mark("swarm", Priority.LATER);
        writer.flush();
        assertEquals(List.of(), state.written);
        mark("start", Priority.INTENT);
        writer.flush();
        mark("swarm", Priority.LATER);
        state.now += 1;
        answered();
        assertEquals(List.of(List.of("start"), List.of("swarm")), state.written);
    }

    @Test
    void anIntentTakesAlongWhatItsChunkHasGathered() {
        mark("chunk", Priority.PATIENT);
        writer.flush();
        assertEquals(List.of(), state.written);
        mark("chunk", Priority.INTENT);
        writer.flush();
        assertEquals(List.of(List.of("chunk")), state.written);
    }

    @Test
    void anIntentTakesEffectOnlyWhileItsJobHasNotEnded() {
        boolean[] known = new boolean[1];
        writer.mark(
                "run 1",
                Priority.INTENT,
                () -> Map.of("run 1", Json.object()),
                () -> known[0] ? List.of() : List.of("end 1"),
                null,
                null);
        writer.flush();
        assertEquals(List.of("run 1", "end 1"), state.absent.get(0));
        // The cancellation that refused it is known by the next try, which makes durable that
        // nothing was started.
        known[0] = true;
        writer.mark("run 1", Priority.INTENT, Json::object, null, null);
        answered();
        assertEquals(List.of(List.of("run 1"), List.of("run 1")), state.written);
    }

    @Test
    void noTransactionHasMoreGuardsThanTheServiceTakes() {
        List<String> ends = IntStream.range(0, 5).mapToObj(i -> "end " + i).toList();
        for (String key : List.of("run 1", "run 2")) {
            writer.mark(
                    key, Priority.INTENT, () -> Map.of(key, Json.object()), () -> ends, null, null);
        }
        writer.flush();
        // The leader key, and a key and five final states for each: two changes allow eight guards.
        assertEquals(List.of(List.of("run 1")), state.written);
        answered();
        assertEquals(List.of(List.of("run 1"), List.of("run 2")), state.written);
    }

    @Test
    void aValueThatIsRefusedForItselfHoldsUpNoOther() {
        mark("stored larger", Priority.INTENT);
        mark("run 1", Priority.INTENT);
        writer.flush();
        // A limit has fallen without notice, and one of the two is beyond it: each is tried by
        // itself.
        refused();
        refused();
        assertEquals(List.of("stored larger", "run 1"), state.written.get(0));
        assertEquals(List.of("stored larger"), state.written.get(1));
        assertEquals(List.of("run 1"), state.written.get(2));
        answered();
        assertEquals(1, writer.waiting());
        state.now += 2;
        mark("run 2", Priority.INTENT);
        writer.flush();
        assertEquals(
                List.of("stored larger", "run 2"),
                state.written.get(3),
                "tried again once it may have changed");
    }

    @Test
    void aValueThatIsRefusedForItselfIsDividedAndWrittenAsAWhole() {
        boolean[] divided = new boolean[1];
        List<String> effects = new ArrayList<>();
        Writer.Content content =
                new Writer.Content() {
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
                    public boolean divide() {
                        boolean possible = !divided[0];
                        divided[0] = true;
                        return possible;
                    }
                };
        writer.mark("run 1", Priority.INTENT, content, List::of, () -> effects.add("start"), null);
        writer.flush();
        mark("run 2", Priority.INTENT);
        refused();
        // Two changes are allowed: the parts of the one leave together, and nothing beside them.
        assertEquals(List.of(List.of("run 1"), List.of("run 1", "run 1b")), state.written);
        assertEquals(List.of("run 1", "run 1b"), state.absent.get(1), "guarded by their stamps");
        assertEquals(List.of(), effects);
        answered();
        assertEquals(List.of("start"), effects);
        assertEquals(List.of("run 2"), state.written.get(2));
    }

    private void refused() {
        state.underWay.accept(new StateService.TxnResult.Refused(400));
        state.pass();
    }
}
