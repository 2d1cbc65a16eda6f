package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Creates keys that must not exist yet, many in one transaction; used by any controller for
 * submissions and cancellations. No more wait than can be written while their users wait: a longer
 * queue would be worked off for users who have given up and asked again, and nobody would be
 * answered in time any more.
 */
final class CreateIfAbsent {

    /** How the creation of a key ended. */
    enum Result {
        CREATED,
        EXISTS,
        UNAVAILABLE,
        /** The state service's rate did not allow it. */
        THROTTLED,
        /** More was waiting than can be written in time. */
        OVERLOADED
    }

    /** A key to be created, until when it may be tried (loop time), and whom to tell. */
    private record PendingCreation(
            String key, JsonNode value, double deadline, List<Consumer<Result>> callbacks) {

        void complete(Result result) {
            callbacks.forEach(callback -> callback.accept(result));
        }

        /**
         * As sent: counted in letters, names of another script would have the service refuse
         * everybody in the transaction.
         */
        int encodedSize() {
            return Json.write(value).length + 2 * key.length();
        }
    }

    /** Users wait 5 s for an answer; what has waited so long is told to come back. */
    static final double MAX_QUEUE_WAIT_S = 3;

    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    private final Loop loop;
    private final KeyValueStore store;
    private final RequestPriority priority;
    private final int maxQueued;
    private final int maxMutations;
    private final int maxBytes;
    private final ArrayDeque<PendingCreation> queue = new ArrayDeque<>();
    private final Map<String, PendingCreation> queuedByKey = new HashMap<>();
    private boolean transactionInFlight;

    /**
     * @param maxMutations how many keys one transaction may create
     * @param maxBytes the most bytes of keys and values in one transaction
     * @param mutationsPerS how many keys can be created in a second
     */
    CreateIfAbsent(
            Loop loop,
            KeyValueStore store,
            RequestPriority priority,
            int maxMutations,
            int maxBytes,
            double mutationsPerS) {
        this.loop = loop;
        this.store = store;
        this.priority = priority;
        this.maxQueued = (int) Math.ceil(MAX_QUEUE_WAIT_S * mutationsPerS);
        this.maxMutations = maxMutations;
        this.maxBytes = maxBytes;
    }

    /** Enqueues a key's creation; it leaves with the next {@link #flush}. */
    void create(String key, JsonNode value, Consumer<Result> done) {
        PendingCreation queued = queuedByKey.get(key);
        if (queued != null) {
            // Asked again while the first request waits: one answer for both.
            queued.callbacks.add(done);
        } else if (queuedByKey.size() >= maxQueued) {
            done.accept(Result.OVERLOADED);
        } else {
            List<Consumer<Result>> callbacks = new ArrayList<>(List.of(done));
            PendingCreation creation =
                    new PendingCreation(key, value, loop.now() + MAX_QUEUE_WAIT_S, callbacks);
            queuedByKey.put(key, creation);
            queue.add(creation);
        }
    }

    /** Whether the key's creation waits already, so that it is asked for once more at no cost. */
    boolean isQueued(String key) {
        return queuedByKey.containsKey(key);
    }

    /**
     * To be called at the end of each batch of commands, so that one transaction carries what came
     * together.
     */
    void flush() {
        if (transactionInFlight || queue.isEmpty()) {
            return;
        }
        List<PendingCreation> batch = nextBatch();
        if (batch.isEmpty()) {
            return;
        }
        transactionInFlight = true;
        store.compareAndSwap(
                priority,
                batch.stream().map(creation -> new Precondition(creation.key, 0)).toList(),
                batch.stream().map(creation -> Mutation.set(creation.key, creation.value)).toList(),
                outcome -> {
                    transactionInFlight = false;
                    complete(batch, outcome);
                    flush();
                });
    }

    /** Takes from the queue what fits into one transaction and still has somebody waiting. */
    private List<PendingCreation> nextBatch() {
        List<PendingCreation> batch = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && batch.size() < maxMutations) {
            PendingCreation creation = queue.peek();
            int size = creation.encodedSize();
            if (!batch.isEmpty() && bytes + size > maxBytes) {
                break;
            }
            queue.poll();
            queuedByKey.remove(creation.key);
            if (creation.deadline < loop.now()) {
                creation.complete(Result.OVERLOADED);
            } else {
                batch.add(creation);
                bytes += size;
            }
        }
        return batch;
    }

    private void complete(List<PendingCreation> batch, CompareAndSwapOutcome outcome) {
        if (outcome instanceof CompareAndSwapOutcome.Committed) {
            completeAll(batch, Result.CREATED);
        } else if (outcome instanceof CompareAndSwapOutcome.Conflict conflict
                && batch.stream().anyMatch(one -> conflict.failedKeys().contains(one.key))) {
            resolveConflict(batch, conflict.failedKeys());
        } else if (outcome instanceof CompareAndSwapOutcome.Refused refused
                && refused.status() == STATUS_TOO_MANY_REQUESTS) {
            completeAll(batch, Result.THROTTLED);
        } else {
            // Also when nobody answered: the user comes back, and finds it accepted if it took
            // effect after all.
            completeAll(batch, Result.UNAVAILABLE);
        }
    }

    private static void completeAll(List<PendingCreation> batch, Result result) {
        batch.forEach(creation -> creation.complete(result));
    }

    private void resolveConflict(List<PendingCreation> batch, List<String> failedKeys) {
        for (PendingCreation creation : batch) {
            if (failedKeys.contains(creation.key)) {
                creation.complete(Result.EXISTS);
            } else {
                requeue(creation);
            }
        }
    }

    /**
     * Was in a transaction that failed for another key's sake; joined by what asked for the same
     * meanwhile.
     */
    private void requeue(PendingCreation creation) {
        PendingCreation later = queuedByKey.put(creation.key, creation);
        if (later != null) {
            queue.remove(later);
            creation.callbacks.addAll(later.callbacks);
        }
        queue.addFirst(creation);
    }
}
