package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.KeyValueStore.ReadResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** How a copy stays whole, and its questions answered, through refusals and errors of its own. */
class ReplicaSynchronizerTest implements NoOpKeyValueStore {

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<Boolean> told = new ArrayList<>();
    private final Replica replica = new Replica(this::changed);
    private final ReplicaSynchronizer sync = new ReplicaSynchronizer(loop, this, replica, 1, 0.1);
    private final List<String> readFrom = new ArrayList<>();
    private boolean refuses;
    private boolean throwsOnChange;
    private Consumer<ReadResult> held;
    private int refused;

    private void changed(String key, JsonNode data, long stamp) {
        if (throwsOnChange) {
            throwsOnChange = false;
            throw new IllegalStateException("a fault in what follows from " + key);
        }
    }

    private static KeyValue item(String key, long stamp) {
        return new KeyValue(key, Json.object(), stamp);
    }

    @Test
    void aLongOutageCausesNoConcurrentOrNeedlessFullReads() {
        sync.start();
        loop.run(1);
        refuses = true;
        held.accept(new ReadResult.Failed());
        loop.run(120);
        readFrom.clear();
        loop.run(120.4);
        assertTrue(
                readFrom.size() <= 2, "one reading at a time, however long it takes: " + readFrom);
        refuses = false;
        readFrom.clear();
        loop.run(125);
        assertTrue(readFrom.size() <= 1, "the follow works again: " + readFrom);
    }

    @Test
    void aListenerExceptionFailsItsReadsButNoLaterOnes() {
        sync.start();
        loop.run(1);
        throwsOnChange = true;
        sync.awaitReadIndex(told::add);
        assertThrows(IllegalStateException.class, () -> loop.run(2));
        assertEquals(List.of(false), told);
        sync.awaitReadIndex(
                current -> {
                    throw new IllegalStateException("a new leader's fault");
                });
        sync.awaitReadIndex(told::add);
        assertThrows(IllegalStateException.class, () -> loop.run(3));
        sync.awaitReadIndex(told::add);
        loop.run(4);
        assertEquals(List.of(false, true, true), told);
        assertEquals(2, replica.modRevision("b"), "what came with the change that failed");
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        readFrom.add(after);
        loop.schedule(
                0.005,
                () ->
                        done.accept(
                                refuses
                                        ? new ReadResult.Failed()
                                        : new ReadResult.Read(List.of(), false, 0)));
    }

    /** The changes come with the questions, the long follow waits. */
    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        if (refuses) {
            // Not always as quick as the readings, which would hide how many there are.
            loop.schedule(0.003 * (1 + refused++ % 11), () -> done.accept(new ReadResult.Failed()));
        } else if (holdS == 0) {
            loop.schedule(
                    0.005,
                    () ->
                            done.accept(
                                    new ReadResult.Read(
                                            List.of(item("a", 1), item("b", 2)), false, 2)));
        } else {
            held = done;
            loop.schedule(
                    holdS,
                    () -> {
                        if (held == done && !refuses) {
                            done.accept(new ReadResult.Read(List.of(), false, since));
                        }
                    });
        }
    }
}
