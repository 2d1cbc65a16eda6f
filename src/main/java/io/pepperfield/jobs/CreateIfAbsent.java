package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;
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
            String key, JsonNode data, double until, List<Consumer<Result>> asked) {

        void done(Result result) {
            asked.forEach(one -> one.accept(result));
        }
    }

    /** Users wait 5 s for an answer; what has waited so long is told to come back. */
    static final double PATIENCE_S = 3;

    private static final int TOO_MANY_REQUESTS = 429;

    private final Loop loop;
    private final StateService state;
    private final Urgency urgency;
    private final int mostWaiting;
    private final int mostChanges;
    private final int mostBytes;
    private final ArrayDeque<PendingCreation> queue = new ArrayDeque<>();
    private final Map<String, PendingCreation> waiting = new HashMap<>();
    private boolean writing;

    /**
     * @param changesPerS how many keys can be created in a second
     */
    CreateIfAbsent(
            Loop loop,
            StateService state,
            Urgency urgency,
            int mostChanges,
            int mostBytes,
            double changesPerS) {
        this.loop = loop;
        this.state = state;
        this.urgency = urgency;
        this.mostWaiting = (int) Math.ceil(PATIENCE_S * changesPerS);
        this.mostChanges = mostChanges;
        this.mostBytes = mostBytes;
    }

    void create(String key, JsonNode data, Consumer<Result> done) {
        PendingCreation same = waiting.get(key);
        if (same != null) {
            // Asked again while the first request waits: one answer for both.
            same.asked.add(done);
        } else if (waiting.size() >= mostWaiting) {
            done.accept(Result.TOO_MANY);
        } else {
            PendingCreation creation =
                    new PendingCreation(
                            key, data, loop.now() + PATIENCE_S, new ArrayList<>(List.of(done)));
            waiting.put(key, creation);
            queue.add(creation);
        }
    }

    /** Whether the key's creation waits already, so that it is asked for once more at no cost. */
    boolean isWaiting(String key) {
        return waiting.containsKey(key);
    }

    /**
     * To be called at the end of each batch of commands, so that one transaction carries what came
     * together.
     */
    void flush() {
        if (writing || queue.isEmpty()) {
            return;
        }
        List<PendingCreation> batch = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && batch.size() < mostChanges) {
            PendingCreation creation = queue.peek();
            // As sent: counted in letters, names of another script would have the service refuse
            // everybody in the transaction.
            int size = Json.write(creation.data).length + 2 * creation.key.length();
            if (!batch.isEmpty() && bytes + size > mostBytes) {
                break;
            }
            queue.poll();
            waiting.remove(creation.key);
            if (creation.until < loop.now()) {
                creation.done(Result.TOO_MANY);
            } else {
                batch.add(creation);
                bytes += size;
            }
        }
        if (batch.isEmpty()) {
            return;
        }
        writing = true;
        List<Guard> guards = batch.stream().map(w -> new Guard(w.key, 0)).toList();
        List<Change> changes = batch.stream().map(w -> Change.set(w.key, w.data)).toList();
        state.txn(
                urgency,
                guards,
                changes,
                result -> {
                    writing = false;
                    if (result instanceof TxnResult.Committed) {
                        batch.forEach(w -> w.done(Result.CREATED));
                    } else if (result instanceof TxnResult.Conflict conflict
                            && batch.stream().anyMatch(w -> conflict.failed().contains(w.key))) {
                        for (PendingCreation creation : batch) {
                            if (conflict.failed().contains(creation.key)) {
                                creation.done(Result.EXISTS);
                            } else {
                                again(creation);
                            }
                        }
                    } else if (result instanceof TxnResult.Refused refused
                            && refused.status() == TOO_MANY_REQUESTS) {
                        batch.forEach(w -> w.done(Result.THROTTLED));
                    } else {
                        // Also when nobody answered: the user comes back, and finds it accepted if
                        // it took effect after all.
                        batch.forEach(w -> w.done(Result.UNAVAILABLE));
                    }
                    flush();
                });
    }

    /**
     * Was in a transaction that failed for another key's sake; joined by what asked for the same
     * meanwhile.
     */
    private void again(PendingCreation creation) {
        PendingCreation later = waiting.put(creation.key, creation);
        if (later != null) {
            queue.remove(later);
            creation.asked.addAll(later.asked);
        }
        queue.addFirst(creation);
    }
}
