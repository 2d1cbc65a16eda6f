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
 * Creates keys that must not exist yet, many in one transaction; used by any node for submissions
 * and cancellations. No more wait than can be written while their users wait: a longer queue would
 * be worked off for users who have given up and asked again, and nobody would be answered in time
 * any more.
 */
final class CreateIfAbsent {

    /** How the creation of a key ended. */
    enum Result {
        CREATED,
        EXISTS,
        UNAVAILABLE,
        /** The state service's rate did not allow it. */
        THROTTLED,
        TOO_MANY
    }

    /** A key to be created, until when it may be tried (loop time), and whom to tell. */
    private record PendingCreation(
            String key, JsonNode value, double deadline, List<Consumer<Result>> callbacks) {

        void complete(Result result) {
            callbacks.forEach(one -> one.accept(result));
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
     * @param changesPerS how many keys can be created in a second
     */
    CreateIfAbsent(
            Loop loop,
            KeyValueStore state,
            RequestPriority urgency,
            int mostChanges,
            int mostBytes,
            double changesPerS) {
        this.loop = loop;
        this.store = state;
        this.priority = urgency;
        this.maxQueued = (int) Math.ceil(MAX_QUEUE_WAIT_S * changesPerS);
        this.maxMutations = mostChanges;
        this.maxBytes = mostBytes;
    }

    void create(String key, JsonNode data, Consumer<Result> done) {
        PendingCreation same = queuedByKey.get(key);
        if (same != null) {
            // Asked again while the first request waits: one answer for both.
            same.callbacks.add(done);
        } else if (queuedByKey.size() >= maxQueued) {
            done.accept(Result.TOO_MANY);
        } else {
            PendingCreation creation =
                    new PendingCreation(
                            key,
                            data,
                            loop.now() + MAX_QUEUE_WAIT_S,
                            new ArrayList<>(List.of(done)));
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
        List<PendingCreation> batch = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && batch.size() < maxMutations) {
            PendingCreation creation = queue.peek();
            // As sent: counted in letters, names of another script would have the service refuse
            // everybody in the transaction.
            int size = Json.write(creation.value).length + 2 * creation.key.length();
            if (!batch.isEmpty() && bytes + size > maxBytes) {
                break;
            }
            queue.poll();
            queuedByKey.remove(creation.key);
            if (creation.deadline < loop.now()) {
                creation.complete(Result.TOO_MANY);
            } else {
                batch.add(creation);
                bytes += size;
            }
        }
        if (batch.isEmpty()) {
            return;
        }
        transactionInFlight = true;
        List<Precondition> guards = batch.stream().map(w -> new Precondition(w.key, 0)).toList();
        List<Mutation> changes = batch.stream().map(w -> Mutation.set(w.key, w.value)).toList();
        store.compareAndSwap(
                priority,
                guards,
                changes,
                result -> {
                    transactionInFlight = false;
                    if (result instanceof CompareAndSwapOutcome.Committed) {
                        batch.forEach(w -> w.complete(Result.CREATED));
                    } else if (result instanceof CompareAndSwapOutcome.Conflict conflict
                            && batch.stream()
                                    .anyMatch(w -> conflict.failedKeys().contains(w.key))) {
                        for (PendingCreation creation : batch) {
                            if (conflict.failedKeys().contains(creation.key)) {
                                creation.complete(Result.EXISTS);
                            } else {
                                requeue(creation);
                            }
                        }
                    } else if (result instanceof CompareAndSwapOutcome.Refused refused
                            && refused.status() == STATUS_TOO_MANY_REQUESTS) {
                        batch.forEach(w -> w.complete(Result.THROTTLED));
                    } else {
                        // Also when nobody answered: the user comes back, and finds it accepted if
                        // it took effect after all.
                        batch.forEach(w -> w.complete(Result.UNAVAILABLE));
                    }
                    flush();
                });
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
