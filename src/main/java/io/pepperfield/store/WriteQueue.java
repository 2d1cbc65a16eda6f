package io.pepperfield.store;

import io.pepperfield.store.FencedWriter.Priority;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The writes pending for a transaction, one per key, in insertion order. */
final class WriteQueue {

    private final double batchDelayS;
    private final double backgroundDelayS;
    private Map<String, PendingWrite> writes = new LinkedHashMap<>();

    /**
     * @param batchDelayS seconds for which batched writes are collected
     * @param backgroundDelayS seconds for which background writes are collected; the effective
     *     priority of a write rises by one each time this delay elapses
     */
    WriteQueue(double batchDelayS, double backgroundDelayS) {
        this.batchDelayS = batchDelayS;
        this.backgroundDelayS = backgroundDelayS;
    }

    int size() {
        return writes.size();
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    void clear() {
        writes = new LinkedHashMap<>();
    }

    /** Returns the pending write of the key, which is created if absent. */
    PendingWrite computeIfAbsent(String key, Supplier<PendingWrite> create) {
        return writes.computeIfAbsent(key, k -> create.get());
    }

    /** Removes and returns the pending write of the key; null if absent. */
    PendingWrite remove(String key) {
        return writes.remove(key);
    }

    /**
     * Returns the writes to send next, by effective priority and then by insertion order. The
     * effective priority of a write rises with its waiting time, so that a continuous stream of
     * more urgent writes cannot starve it.
     *
     * @param now loop time in seconds
     * @param maxWrites maximum number of writes
     */
    List<PendingWrite> selectReady(double now, int maxWrites) {
        List<PendingWrite> ready = new ArrayList<>();
        for (int rank = 0; rank < Priority.values().length; rank++) {
            for (PendingWrite write : writes.values()) {
                if (ready.size() == maxWrites) {
                    return ready;
                }
                if (isReady(write, now) && effectivePriority(write, now) == rank) {
                    ready.add(write);
                }
            }
        }
        return ready;
    }

    private boolean isReady(PendingWrite write, double now) {
        return write.retryNotBefore() <= now
                && switch (write.priority()) {
                    case INTENT, FINAL_STATE -> true;
                    case BATCHED -> now - write.enqueuedAt() >= batchDelayS;
                    case BACKGROUND -> elapsedDelays(write, now) > 0;
                };
    }

    private int effectivePriority(PendingWrite write, double now) {
        return Math.max(0, write.priority().ordinal() - elapsedDelays(write, now));
    }

    private int elapsedDelays(PendingWrite write, double now) {
        return (int) ((now - write.enqueuedAt()) / backgroundDelayS);
    }

    /** Reinserts failed writes at the front, merged with later writes of the same keys. */
    void requeue(List<PendingWrite> failed) {
        Map<String, PendingWrite> later = writes;
        writes = new LinkedHashMap<>();
        failed.forEach(write -> writes.put(write.key(), write));
        later.forEach(
                (key, write) -> {
                    PendingWrite earlier = writes.putIfAbsent(key, write);
                    if (earlier != null) {
                        earlier.merge(write);
                    }
                });
    }
}
