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

/**
 * Checks that the replica stays complete and that reads are answered during outages of the state
 * service and after exceptions of listeners and callbacks.
 */
class ReplicaSynchronizerTest implements NoOpKeyValueStore {

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<Boolean> readResults = new ArrayList<>();
    private final Replica replica = new Replica(this::changed);
    private final ReplicaSynchronizer synchronizer =
            new ReplicaSynchronizer(loop, this, replica, 1, 0.1);
    private final List<String> readFrom = new ArrayList<>();
    private boolean failing;
    private boolean throwsOnChange;
    private Consumer<ReadResult> pendingWatch;
    private int failedWatches;

    private void changed(String key, JsonNode value, long modRevision) {
        if (throwsOnChange) {
            throwsOnChange = false;
            throw new IllegalStateException("listener failed on " + key);
        }
    }

    private static KeyValue entry(String key, long modRevision) {
        return new KeyValue(key, Json.object(), modRevision);
    }

    @Test
    void aLongOutageCausesNoConcurrentOrNeedlessFullReads() {
        synchronizer.start();
        loop.run(1);
        failing = true;
        pendingWatch.accept(new ReadResult.Failed());
        loop.run(120);
        readFrom.clear();
        loop.run(120.4);
        assertTrue(
                readFrom.size() <= 2,
                "at most one full read at a time during the outage: " + readFrom);
        failing = false;
        readFrom.clear();
        loop.run(125);
        assertTrue(readFrom.size() <= 1, "the watch has recovered: " + readFrom);
    }

    @Test
    void aListenerExceptionFailsItsReadsButNoLaterOnes() {
        synchronizer.start();
        loop.run(1);
        throwsOnChange = true;
        synchronizer.awaitReadIndex(readResults::add);
        assertThrows(IllegalStateException.class, () -> loop.run(2));
        assertEquals(List.of(false), readResults);
        synchronizer.awaitReadIndex(
                current -> {
                    throw new IllegalStateException("callback failed");
                });
        synchronizer.awaitReadIndex(readResults::add);
        assertThrows(IllegalStateException.class, () -> loop.run(3));
        synchronizer.awaitReadIndex(readResults::add);
        loop.run(4);
        assertEquals(List.of(false, true, true), readResults);
        assertEquals(
                2, replica.modRevision("b"), "the change after the one that failed is applied");
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        readFrom.add(after);
        loop.schedule(
                0.005,
                () ->
                        done.accept(
                                failing
                                        ? new ReadResult.Failed()
                                        : new ReadResult.Read(List.of(), false, 0)));
    }

    /**
     * Read index requests return the changes; the long watch returns none until its hold time ends.
     */
    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        if (failing) {
            // Varying delays, so that failures do not coincide with the page reads and hide their
            // number.
            loop.schedule(
                    0.003 * (1 + failedWatches++ % 11), () -> done.accept(new ReadResult.Failed()));
        } else if (holdS == 0) {
            loop.schedule(
                    0.005,
                    () ->
                            done.accept(
                                    new ReadResult.Read(
                                            List.of(entry("a", 1), entry("b", 2)), false, 2)));
        } else {
            pendingWatch = done;
            loop.schedule(
                    holdS,
                    () -> {
                        if (pendingWatch == done && !failing) {
                            done.accept(new ReadResult.Read(List.of(), false, since));
                        }
                    });
        }
    }
}
