package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Creates keys that must not exist yet, many in one transaction; used by any node for submissions and cancellations. */
final class Once {

    enum Result { CREATED, EXISTS, UNAVAILABLE }

    private record Wish(String key, JsonNode data, Consumer<Result> done) { }

    private final StateService state;
    private final Urgency urgency;
    private final int mostChanges;
    private final int mostBytes;
    private final ArrayDeque<Wish> wishes = new ArrayDeque<>();
    private boolean writing;

    Once(StateService state, Urgency urgency, int mostChanges, int mostBytes) {
        this.state = state;
        this.urgency = urgency;
        this.mostChanges = mostChanges;
        this.mostBytes = mostBytes;
    }

    void create(String key, JsonNode data, Consumer<Result> done) {
        wishes.add(new Wish(key, data, done));
    }

    /** To be called at the end of each batch of commands, so that one transaction carries what came together. */
    void flush() {
        if (writing || wishes.isEmpty()) {
            return;
        }
        List<Wish> batch = new ArrayList<>();
        List<Wish> twice = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        while (!wishes.isEmpty() && batch.size() < mostChanges && bytes < mostBytes) {
            Wish wish = wishes.poll();
            if (keys.add(wish.key)) {
                batch.add(wish);
                bytes += wish.data.toString().length() + 2 * wish.key.length();
            } else {
                // Two requests for one job in one batch: the second is answered by what the first leads to.
                twice.add(wish);
            }
        }
        wishes.addAll(twice);
        writing = true;
        List<Guard> guards = batch.stream().map(w -> new Guard(w.key, 0)).toList();
        List<Change> changes = batch.stream().map(w -> Change.set(w.key, w.data)).toList();
        state.txn(urgency, guards, changes, result -> {
            writing = false;
            if (result instanceof TxnResult.Committed) {
                batch.forEach(w -> w.done.accept(Result.CREATED));
            } else if (result instanceof TxnResult.Conflict conflict && batch.stream().anyMatch(w -> conflict.failed().contains(w.key))) {
                for (Wish wish : batch) {
                    if (conflict.failed().contains(wish.key)) {
                        wish.done.accept(Result.EXISTS);
                    } else {
                        wishes.addFirst(wish);
                    }
                }
            } else {
                // Also when nobody answered: the user comes back, and finds it accepted if it took effect after all.
                batch.forEach(w -> w.done.accept(Result.UNAVAILABLE));
            }
            flush();
        });
    }
}
