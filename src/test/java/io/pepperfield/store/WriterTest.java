package io.pepperfield.store;

import io.pepperfield.http.Json;
import io.pepperfield.standin.Transactions;
import io.pepperfield.store.Writer.Haste;
import org.junit.jupiter.api.Test;

import java.util.List;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** In which order the leader's changes go, two in a transaction here. */
class WriterTest {

    private final Transactions state = new Transactions();
    private final Replica replica = new Replica((key, data, stamp) -> { });
    private final Writer writer = new Writer(state, state, replica, new Sync(state, state, replica, 1, 1), new Writer.Lead() {
        @Override public boolean confirmed() {
            return true;
        }

        @Override public StateService.Guard guard() {
            return new StateService.Guard("leader", 1);
        }
    }, 2, 1, 2);

    private void mark(String key, Haste haste) {
        writer.mark(key, haste, Json::object, null, null);
    }

    private void answered() {
        state.underWay.accept(new StateService.TxnResult.Committed(state.written.size()));
    }

    @Test void intentsThenEndsThenWhatHasGathered() {
        mark("completed", Haste.PATIENT);
        mark("end", Haste.END);
        mark("start 1", Haste.INTENT);
        mark("start 2", Haste.INTENT);
        writer.flush();
        answered();
        assertEquals(List.of(List.of("start 1", "start 2"), List.of("end")), state.written);
        answered();
        state.now = 2;
        mark("start 3", Haste.INTENT);
        writer.flush();
        assertEquals(List.of("start 3", "completed"), state.written.get(2));
    }

    @Test void whatKeepsComingHoldsNothingBackForEver() {
        mark("end", Haste.END);
        mark("completed", Haste.PATIENT);
        for (int i = 0; i < 4; i++) {
            mark("start " + i, Haste.INTENT);
        }
        writer.flush();
        for (int i = 4; i < 12; i++) {
            state.now += 1;
            mark("start " + i, Haste.INTENT);
            mark("again " + i, Haste.INTENT);
            answered();
        }
        assertEquals(true, state.written.stream().anyMatch(keys -> keys.contains("end")), state.written.toString());
        assertEquals(true, state.written.stream().anyMatch(keys -> keys.contains("completed")), state.written.toString());
    }

    @Test void intentsOfTheLowestRankAreGatheredForAMoment() {
        mark("swarm", Haste.LATER);
        mark("swarm", Haste.LATER);
        writer.flush();
        assertEquals(List.of(), state.written);
        mark("start", Haste.INTENT);
        writer.flush();
        mark("swarm", Haste.LATER);
        state.now += 1;
        answered();
        assertEquals(List.of(List.of("start"), List.of("swarm")), state.written);
    }

    @Test void anIntentTakesAlongWhatItsChunkHasGathered() {
        mark("chunk", Haste.PATIENT);
        writer.flush();
        assertEquals(List.of(), state.written);
        mark("chunk", Haste.INTENT);
        writer.flush();
        assertEquals(List.of(List.of("chunk")), state.written);
    }
}
