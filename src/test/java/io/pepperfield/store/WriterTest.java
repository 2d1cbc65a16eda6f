package io.pepperfield.store;

import io.pepperfield.http.Json;
import io.pepperfield.node.Loop;
import io.pepperfield.store.Writer.Haste;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** In which order the leader's changes go, two in a transaction here. */
class WriterTest {

    private final List<List<String>> written = new ArrayList<>();
    private Consumer<StateService.TxnResult> underWay;
    private double now;

    private final Loop loop = new Loop() {
        @Override public double now() {
            return now;
        }

        @Override public long wallMs() {
            return 0;
        }

        @Override public void post(Runnable command) {
            command.run();
        }

        @Override public void after(double seconds, Runnable command) { }
    };

    private final StateService state = new StateService() {
        @Override public void txn(Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done) {
            written.add(changes.stream().map(Change::key).toList());
            underWay = done;
        }

        @Override public void range(String after, Consumer<ReadResult> done) { }

        @Override public void follow(long since, double holdS, Consumer<ReadResult> done) { }

        @Override public void grant(double ttlS, Consumer<GrantResult> done) { }

        @Override public void touch(long id, Consumer<GrantResult> done) { }

        @Override public void endGrant(long id) { }
    };

    private final Replica replica = new Replica((key, data, stamp) -> { });
    private final Writer writer = new Writer(loop, state, replica, new Sync(loop, state, replica, 1, 1), new Writer.Lead() {
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
        underWay.accept(new StateService.TxnResult.Committed(written.size()));
    }

    @Test void intentsThenEndsThenWhatHasGathered() {
        mark("completed", Haste.PATIENT);
        mark("end", Haste.END);
        mark("start 1", Haste.INTENT);
        mark("start 2", Haste.INTENT);
        writer.flush();
        answered();
        assertEquals(List.of(List.of("start 1", "start 2"), List.of("end")), written);
        answered();
        now = 2;
        mark("start 3", Haste.INTENT);
        writer.flush();
        assertEquals(List.of("start 3", "completed"), written.get(2));
    }

    @Test void whatKeepsComingHoldsNothingBackForEver() {
        mark("end", Haste.END);
        mark("completed", Haste.PATIENT);
        for (int i = 0; i < 4; i++) {
            mark("start " + i, Haste.INTENT);
        }
        writer.flush();
        for (int i = 4; i < 12; i++) {
            now += 1;
            mark("start " + i, Haste.INTENT);
            mark("again " + i, Haste.INTENT);
            answered();
        }
        assertEquals(true, written.stream().anyMatch(keys -> keys.contains("end")), written.toString());
        assertEquals(true, written.stream().anyMatch(keys -> keys.contains("completed")), written.toString());
    }

    @Test void intentsOfTheLowestRankAreGatheredForAMoment() {
        mark("swarm", Haste.LATER);
        mark("swarm", Haste.LATER);
        writer.flush();
        assertEquals(List.of(), written);
        mark("start", Haste.INTENT);
        writer.flush();
        mark("swarm", Haste.LATER);
        now += 1;
        answered();
        assertEquals(List.of(List.of("start"), List.of("swarm")), written);
    }

    @Test void anIntentTakesAlongWhatItsChunkHasGathered() {
        mark("chunk", Haste.PATIENT);
        writer.flush();
        assertEquals(List.of(), written);
        mark("chunk", Haste.INTENT);
        writer.flush();
        assertEquals(List.of(List.of("chunk")), written);
    }
}
