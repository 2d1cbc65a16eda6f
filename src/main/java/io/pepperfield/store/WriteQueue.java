package io.pepperfield.store;

import io.pepperfield.store.FencedWriter.Priority;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The writes that wait for a transaction, one for each key, in the order of their arrival. */
final class WriteQueue {

    private final double batchDelayS;
    private final double backgroundDelayS;
    private Map<String, PendingWrite> writes = new LinkedHashMap<>();

    /**
     * @param batchDelayS how long batched writes are gathered
     * @param backgroundDelayS how long background writes are gathered; with each such time a write
     *     moves up by one priority
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

    /** The write that waits under the key, which is created where there is none. */
    PendingWrite computeIfAbsent(String key, Supplier<PendingWrite> create) {
        return writes.computeIfAbsent(key, k -> create.get());
    }

    /** Takes out the write that waits under the key; null where there is none. */
    PendingWrite remove(String key) {
        return writes.remove(key);
    }

    /**
     * The writes to go next, the most urgent first and the oldest of them before the others. A
     * write moves up with the time that it has waited, so that what keeps coming cannot hold it
     * back for ever.
     *
     * @param now loop time in seconds
     * @param most how many are wanted
     */
    List<PendingWrite> selectReady(double now, int most) {
        List<PendingWrite> ready = new ArrayList<>();
        for (int rank = 0; rank < Priority.values().length; rank++) {
            for (PendingWrite write : writes.values()) {
                if (ready.size() == most) {
                    return ready;
                }
                if (isReady(write, now) && effectiveRank(write, now) == rank) {
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
                    case BACKGROUND -> delaysWaited(write, now) > 0;
                };
    }

    private int effectiveRank(PendingWrite write, double now) {
        return Math.max(0, write.priority().ordinal() - delaysWaited(write, now));
    }

    private int delaysWaited(PendingWrite write, double now) {
        return (int) ((now - write.enqueuedAt()) / backgroundDelayS);
    }

    /** Puts writes back in front, joined with what was enqueued for their keys meanwhile. */
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
