package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.TxnResult;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's durable writes: many keys share one transaction, one transaction is under way. Every
 * key is guarded by its own stamp besides the leader's token, so that a transaction that was given
 * up and is applied late finds its keys changed and does nothing.
 */
public final class Writer {

    private static final Logger LOG = LoggerFactory.getLogger(Writer.class);

    /** Where the leader stands now; a write without a valid guard is not even tried. */
    public interface Lead {
        /** Whether this node leads and its grant cannot have ended. */
        boolean confirmed();

        /** The condition that proves the lead when the write takes effect. */
        Guard guard();
    }

    /** What goes first when changes are short, in this order. */
    public enum Priority {
        /** Something waits to be started or rented. */
        INTENT,
        /** A final state, which users wait for. */
        END,
        /**
         * An intent of the lowest rank: gathered for a moment, so that a swarm of small jobs costs
         * one change and not one each.
         */
        LATER,
        /**
         * A completed or lost task: if it is lost, a worker that still holds it tells it again, or
         * it runs once more.
         */
        PATIENT
    }

    /** What is to be written under one or several keys, in one transaction. */
    public interface Content {

        /** The keys and their values when the write leaves, in the order of the changes. */
        Map<String, JsonNode> values();

        /**
         * The service refuses the values for their size. True if they are divided among more keys
         * from now on, so that another try makes sense.
         */
        default boolean divide() {
            return false;
        }
    }

    /** A key waiting to be written: what to write, and whom to tell. */
    private static final class Pending {
        final Content content;
        final Supplier<Collection<String>> absent;
        final List<Runnable> effects = new ArrayList<>();
        final Runnable taken;
        final double since;
        Priority priority;

        /** Refused by the service for itself: not tried again before. */
        double notBefore = Double.NEGATIVE_INFINITY;

        Pending(
                Priority priority,
                Content content,
                Supplier<Collection<String>> absent,
                Runnable taken,
                double since) {
            this.priority = priority;
            this.content = content;
            this.absent = absent;
            this.taken = taken;
            this.since = since;
        }
    }

    /** 64 KiB are allowed in all; guards and names need their partition. */
    private static final int MOST_BYTES = 40 * 1024;

    /** HTTP's word for a request that will never be carried out as it is. */
    private static final int MALFORMED = 400;

    /** What a guard adds to the name of its key. */
    private static final int GUARD_BYTES = 20;

    private final Loop loop;
    private final StateService state;
    private final Replica replica;
    private final Sync sync;
    private final Lead lead;
    private final TransactionLimits limits;
    private final double retryS;
    private final double patienceS;
    private final double gatherS;
    private final Map<String, Long> stamps = new LinkedHashMap<>();
    private Map<String, Pending> pending = new LinkedHashMap<>();
    private boolean writing;
    private boolean paused;
    private int generation;

    /** So many changes are tried one by one, after a transaction was refused whole. */
    private int alone;

    /**
     * @param retryS the pause after a refusal, and how long intents of the lowest rank are gathered
     * @param patienceS how long changes that nobody waits for are gathered, so that a chunk's many
     *     cost one
     */
    public Writer(
            Loop loop,
            StateService state,
            Replica replica,
            Sync sync,
            Lead lead,
            TransactionLimits limits,
            double retryS,
            double patienceS) {
        this.loop = loop;
        this.state = state;
        this.replica = replica;
        this.sync = sync;
        this.lead = lead;
        this.limits = limits;
        this.retryS = retryS;
        this.patienceS = patienceS;
        this.gatherS = retryS;
    }

    /** Forgets what was waiting: it was the wish of a leadership that has ended. */
    public void reset() {
        pending = new LinkedHashMap<>();
        stamps.clear();
        writing = false;
        paused = false;
        alone = 0;
        generation++;
    }

    /** The number of keys waiting to be written. */
    public int waiting() {
        return pending.size();
    }

    /**
     * The key is to hold what {@code content} gives when the write leaves; {@code effect} runs once
     * it is durable. A {@code taken} that is not null makes the key write-once: it runs instead if
     * the key is found written. Keys are never deleted here: a late first write would find its key
     * missing, as it expects, and bring it back.
     */
    public void mark(
            String key,
            Priority priority,
            Supplier<JsonNode> content,
            Runnable effect,
            Runnable taken) {
        mark(key, priority, () -> Map.of(key, content.get()), Set::of, effect, taken);
    }

    /**
     * The same for a write that may only take effect while certain other keys do not exist.
     *
     * @param key the first key of the content, by which the write is known here
     * @param absent gives the keys that must not exist, when the write leaves
     */
    public void mark(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> absent,
            Runnable effect,
            Runnable taken) {
        Pending entry =
                pending.computeIfAbsent(
                        key, k -> new Pending(priority, content, absent, taken, loop.now()));
        if (priority.compareTo(entry.priority) < 0) {
            entry.priority = priority;
        }
        if (effect != null) {
            entry.effects.add(effect);
        }
    }

    /**
     * What was to be written under the key is of no consequence any more; whoever waited for it
     * goes on.
     */
    public void drop(String key) {
        Pending entry = pending.remove(key);
        if (entry != null) {
            entry.effects.forEach(Runnable::run);
        }
    }

    /** To be called at the end of each batch of commands. */
    public void flush() {
        if (writing || paused || pending.isEmpty() || !lead.confirmed()) {
            return;
        }
        List<Map.Entry<String, Pending>> chosen = chosen();
        if (chosen.isEmpty()) {
            return;
        }
        Map<String, Pending> batch = new LinkedHashMap<>();
        List<Change> changes = new ArrayList<>();
        List<Guard> guards = new ArrayList<>();
        guards.add(lead.guard());
        int bytes = 0;
        for (Map.Entry<String, Pending> next : chosen) {
            Map<String, JsonNode> values = next.getValue().content.values();
            Collection<String> absent = next.getValue().absent.get();
            int size = size(values, absent);
            if (!batch.isEmpty()
                    && (alone > 0
                            || changes.size() + values.size() > limits.changes()
                            || bytes + size > MOST_BYTES
                            || guards.size() + values.size() + absent.size() > limits.guards())) {
                break;
            }
            bytes += size;
            pending.remove(next.getKey());
            batch.put(next.getKey(), next.getValue());
            // A final state is written once: its guard stays 0 whatever a retry has learned
            // meanwhile.
            boolean once = next.getValue().taken != null;
            values.forEach(
                    (key, value) -> {
                        changes.add(Change.set(key, value));
                        guards.add(new Guard(key, once ? 0 : stamp(key)));
                    });
            absent.forEach(k -> guards.add(new Guard(k, 0)));
        }
        writing = true;
        alone = Math.max(0, alone - 1);
        int mine = generation;
        state.txn(
                StateService.Urgency.RUN,
                guards,
                changes,
                result -> {
                    if (mine == generation) {
                        writing = false;
                        finish(batch, changes, result);
                    }
                });
    }

    private static int size(Map<String, JsonNode> values, Collection<String> absent) {
        int size = 0;
        for (Map.Entry<String, JsonNode> value : values.entrySet()) {
            size += Json.write(value.getValue()).length + 2 * value.getKey().length();
        }
        for (String key : absent) {
            size += key.length() + GUARD_BYTES;
        }
        return size;
    }

    /**
     * The most urgent changes, the oldest of them first; patient ones only once they have gathered.
     * With each such time a change moves up, so that what keeps coming cannot hold it back for
     * ever.
     */
    private List<Map.Entry<String, Pending>> chosen() {
        double now = loop.now();
        List<Map.Entry<String, Pending>> chosen = new ArrayList<>();
        for (int rank = 0; rank < Priority.values().length; rank++) {
            for (Map.Entry<String, Pending> entry : pending.entrySet()) {
                if (chosen.size() == limits.changes()) {
                    return chosen;
                }
                Pending change = entry.getValue();
                int waited = (int) ((now - change.since) / patienceS);
                boolean ripe =
                        change.notBefore <= now
                                && switch (change.priority) {
                                    case INTENT, END -> true;
                                    case LATER -> now - change.since >= gatherS;
                                    case PATIENT -> waited > 0;
                                };
                if (ripe && Math.max(0, change.priority.ordinal() - waited) == rank) {
                    chosen.add(entry);
                }
            }
        }
        return chosen;
    }

    private long stamp(String key) {
        return Math.max(stamps.getOrDefault(key, 0L), replica.stamp(key));
    }

    private void finish(Map<String, Pending> batch, List<Change> changes, TxnResult result) {
        if (result instanceof TxnResult.Committed done) {
            changes.forEach(change -> stamps.put(change.key(), done.revision()));
            batch.values().forEach(entry -> entry.effects.forEach(Runnable::run));
            flush();
            return;
        }
        if (result instanceof TxnResult.Refused refused && refused.status() == MALFORMED) {
            refusedForGood(batch);
        }
        requeue(batch);
        paused = true;
        int mine = generation;
        if (result instanceof TxnResult.Refused) {
            loop.after(
                    retryS,
                    () -> {
                        if (mine == generation) {
                            paused = false;
                            flush();
                        }
                    });
        } else {
            settle(batch, changes);
        }
    }

    /**
     * The service will never take this transaction as it is. Of several changes one may be too
     * large, as it was stored under a higher limit: each is tried by itself. One that is refused
     * alone is divided among more keys; where that is not possible, it waits until it has changed,
     * without holding up the others.
     */
    private void refusedForGood(Map<String, Pending> batch) {
        if (batch.size() > 1) {
            alone = batch.size();
            return;
        }
        batch.forEach(
                (key, entry) -> {
                    if (entry.content.divide()) {
                        LOG.info("{} is too large by now and is divided", key);
                    } else {
                        LOG.warn("{} cannot be written as it is", key);
                        entry.notBefore = loop.now() + patienceS;
                    }
                });
    }

    /**
     * After a conflict or no answer: what is there now decides which stamps the next try is guarded
     * by.
     */
    private void settle(Map<String, Pending> batch, List<Change> changes) {
        int mine = generation;
        sync.confirm(
                current -> {
                    if (mine != generation) {
                        return;
                    }
                    if (!current) {
                        loop.after(
                                retryS,
                                () -> {
                                    if (mine == generation) {
                                        settle(batch, changes);
                                    }
                                });
                        return;
                    }
                    paused = false;
                    // A key in a newer version than expected was written by an earlier try of this
                    // very writer.
                    changes.forEach(change -> stamps.remove(change.key()));
                    batch.forEach(
                            (key, entry) -> {
                                if (entry.taken != null && replica.get(key) != null) {
                                    pending.remove(key);
                                    entry.taken.run();
                                }
                            });
                    // Spaced, so that a guard which keeps failing until the replica brings the
                    // reason does not spin.
                    loop.after(retryS / 4, this::flush);
                });
    }

    /** Puts a batch back in front, joined with what was marked meanwhile. */
    private void requeue(Map<String, Pending> batch) {
        Map<String, Pending> later = pending;
        pending = new LinkedHashMap<>(batch);
        later.forEach(
                (key, entry) -> {
                    Pending first = pending.putIfAbsent(key, entry);
                    if (first != null) {
                        first.effects.addAll(entry.effects);
                        first.priority =
                                first.priority.compareTo(entry.priority) < 0
                                        ? first.priority
                                        : entry.priority;
                    }
                });
    }
}
