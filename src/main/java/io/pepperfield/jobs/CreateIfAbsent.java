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
 * Creates keys that must not exist yet, batching many into one transaction; used by every
 * controller for submissions and cancellations. The queue is limited to the creations that can be
 * written before their clients time out: a longer queue would be spent on requests whose clients
 * have given up and retried, and no request would be answered in time.
 */
final class CreateIfAbsent {

    /** The outcome of creating a key. */
    enum Result {
        CREATED,
        EXISTS,
        UNAVAILABLE,
        /** The state service rejected the request because its rate limit was exceeded. */
        THROTTLED,
        /** The queue is full, or the creation waited in it for too long. */
        OVERLOADED
    }

    /** A key to create, the loop time at which the creation expires, and the callbacks. */
    private record PendingCreation(
            String key, JsonNode value, double deadline, List<Consumer<Result>> callbacks) {

        void complete(Result result) {
            callbacks.forEach(callback -> callback.accept(result));
        }

        /**
         * The size in bytes as sent. Counting characters would underestimate non-ASCII names, and
         * the service would then reject the whole transaction as too large.
         */
        int encodedSize() {
            return Json.write(value).length + 2 * key.length();
        }
    }

    /**
     * Maximum time in the queue. Clients time out after 5 s; a creation that has been queued for
     * longer than this is refused, and its client retries.
     */
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
     * @param maxMutations maximum number of keys created by one transaction
     * @param maxBytes maximum size in bytes of the keys and values of one transaction
     * @param mutationsPerS number of keys that can be created per second
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

    /** Enqueues the creation of a key; it is sent by a following {@link #flush}. */
    void create(String key, JsonNode value, Consumer<Result> done) {
        PendingCreation queued = queuedByKey.get(key);
        if (queued != null) {
            // A duplicate of a queued request: one creation answers both.
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

    /** Whether the key's creation is already queued, so that a duplicate request costs nothing. */
    boolean isQueued(String key) {
        return queuedByKey.containsKey(key);
    }

    /**
     * Sends the queued creations unless a transaction is in flight. Must be called at the end of
     * each batch of commands, so that requests that arrived together share a transaction.
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

    /** Takes from the queue the unexpired creations that fit into one transaction. */
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
                && batch.stream()
                        .anyMatch(creation -> conflict.failedKeys().contains(creation.key))) {
            resolveConflict(batch, conflict.failedKeys());
        } else if (outcome instanceof CompareAndSwapOutcome.Refused refused
                && refused.status() == STATUS_TOO_MANY_REQUESTS) {
            completeAll(batch, Result.THROTTLED);
        } else {
            // This includes transactions without an answer: the client retries, and finds its
            // request accepted if the transaction was committed after all.
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
     * Puts a creation whose transaction failed because of another key back at the head of the
     * queue, merged with a request for the same key that was queued in the meantime.
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
