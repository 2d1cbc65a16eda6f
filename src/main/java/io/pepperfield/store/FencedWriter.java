package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
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
public final class FencedWriter {

    private static final Logger LOG = LoggerFactory.getLogger(FencedWriter.class);

    /** Where the leader stands now; a write without a valid guard is not even tried. */
    public interface Fence {
        /** Whether this node leads and its grant cannot have ended. */
        boolean holdsValidLease();

        /** The condition that proves the lead when the write takes effect. */
        Precondition fencingPrecondition();
    }

    /** What goes first when changes are short, in this order. */
    public enum Priority {
        /** Something waits to be started or rented. */
        INTENT,
        /** A final state, which users wait for. */
        FINAL_STATE,
        /**
         * An intent of the lowest rank: gathered for a moment, so that a swarm of small jobs costs
         * one change and not one each.
         */
        BATCHED,
        /**
         * A completed or lost task: if it is lost, a worker that still holds it tells it again, or
         * it runs once more.
         */
        BACKGROUND
    }

    /** What is to be written under one or several keys, in one transaction. */
    public interface Content {

        /** The keys and their values when the write leaves, in the order of the changes. */
        Map<String, JsonNode> values();

        /**
         * The service refuses the values for their size. True if they are divided among more keys
         * from now on, so that another try makes sense.
         */
        default boolean split() {
            return false;
        }
    }

    /** A key waiting to be written: what to write, and whom to tell. */
    private static final class PendingWrite {
        final Content content;
        final Supplier<Collection<String>> requiredAbsent;
        final List<Runnable> onDurable = new ArrayList<>();
        final Runnable onAlreadyWritten;
        final double enqueuedAt;
        Priority priority;

        /** Refused by the service for itself: not tried again before. */
        double retryNotBefore = Double.NEGATIVE_INFINITY;

        PendingWrite(
                Priority priority,
                Content content,
                Supplier<Collection<String>> absent,
                Runnable taken,
                double since) {
            this.priority = priority;
            this.content = content;
            this.requiredAbsent = absent;
            this.onAlreadyWritten = taken;
            this.enqueuedAt = since;
        }
    }

    /** 64 KiB are allowed in all; guards and names need their partition. */
    private static final int MAX_TRANSACTION_BYTES = 40 * 1024;

    /** HTTP's word for a request that will never be carried out as it is. */
    private static final int STATUS_BAD_REQUEST = 400;

    /** What a guard adds to the name of its key. */
    private static final int PRECONDITION_BYTES = 20;

    private final Loop loop;
    private final KeyValueStore store;
    private final Replica replica;
    private final ReplicaSynchronizer synchronizer;
    private final Fence fence;
    private final TransactionLimits limits;
    private final double retryS;
    private final double backgroundDelayS;
    private final double batchDelayS;
    private final Map<String, Long> knownRevisions = new LinkedHashMap<>();
    private Map<String, PendingWrite> pending = new LinkedHashMap<>();
    private boolean transactionInFlight;
    private boolean paused;
    private int resetCount;

    /** So many changes are tried one by one, after a transaction was refused whole. */
    private int isolatedWritesLeft;

    /**
     * @param retryS the pause after a refusal, and how long intents of the lowest rank are gathered
     * @param patienceS how long changes that nobody waits for are gathered, so that a chunk's many
     *     cost one
     */
    public FencedWriter(
            Loop loop,
            KeyValueStore state,
            Replica replica,
            ReplicaSynchronizer sync,
            Fence lead,
            TransactionLimits limits,
            double retryS,
            double patienceS) {
        this.loop = loop;
        this.store = state;
        this.replica = replica;
        this.synchronizer = sync;
        this.fence = lead;
        this.limits = limits;
        this.retryS = retryS;
        this.backgroundDelayS = patienceS;
        this.batchDelayS = retryS;
    }

    /** Forgets what was waiting: it was the wish of a leadership that has ended. */
    public void reset() {
        pending = new LinkedHashMap<>();
        knownRevisions.clear();
        transactionInFlight = false;
        paused = false;
        isolatedWritesLeft = 0;
        resetCount++;
    }

    /** The number of keys waiting to be written. */
    public int pendingCount() {
        return pending.size();
    }

    /**
     * The key is to hold what {@code content} gives when the write leaves; {@code effect} runs once
     * it is durable. A {@code taken} that is not null makes the key write-once: it runs instead if
     * the key is found written. Keys are never deleted here: a late first write would find its key
     * missing, as it expects, and bring it back.
     */
    public void enqueue(
            String key,
            Priority priority,
            Supplier<JsonNode> content,
            Runnable effect,
            Runnable taken) {
        enqueue(key, priority, () -> Map.of(key, content.get()), Set::of, effect, taken);
    }

    /**
     * The same for a write that may only take effect while certain other keys do not exist.
     *
     * @param key the first key of the content, by which the write is known here
     * @param absent gives the keys that must not exist, when the write leaves
     */
    public void enqueue(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> absent,
            Runnable effect,
            Runnable taken) {
        PendingWrite entry =
                pending.computeIfAbsent(
                        key, k -> new PendingWrite(priority, content, absent, taken, loop.now()));
        if (priority.compareTo(entry.priority) < 0) {
            entry.priority = priority;
        }
        if (effect != null) {
            entry.onDurable.add(effect);
        }
    }

    /**
     * What was to be written under the key is of no consequence any more; whoever waited for it
     * goes on.
     */
    public void discard(String key) {
        PendingWrite entry = pending.remove(key);
        if (entry != null) {
            entry.onDurable.forEach(Runnable::run);
        }
    }

    /** To be called at the end of each batch of commands. */
    public void flush() {
        if (transactionInFlight || paused || pending.isEmpty() || !fence.holdsValidLease()) {
            return;
        }
        List<Map.Entry<String, PendingWrite>> chosen = selectNext();
        if (chosen.isEmpty()) {
            return;
        }
        Map<String, PendingWrite> batch = new LinkedHashMap<>();
        List<Mutation> changes = new ArrayList<>();
        List<Precondition> guards = new ArrayList<>();
        guards.add(fence.fencingPrecondition());
        int bytes = 0;
        for (Map.Entry<String, PendingWrite> next : chosen) {
            Map<String, JsonNode> values = next.getValue().content.values();
            Collection<String> absent = next.getValue().requiredAbsent.get();
            int size = encodedSize(values, absent);
            if (!batch.isEmpty()
                    && (isolatedWritesLeft > 0
                            || changes.size() + values.size() > limits.maxMutations()
                            || bytes + size > MAX_TRANSACTION_BYTES
                            || guards.size() + values.size() + absent.size()
                                    > limits.maxPreconditions())) {
                break;
            }
            bytes += size;
            pending.remove(next.getKey());
            batch.put(next.getKey(), next.getValue());
            // A final state is written once: its guard stays 0 whatever a retry has learned
            // meanwhile.
            boolean once = next.getValue().onAlreadyWritten != null;
            values.forEach(
                    (key, value) -> {
                        changes.add(Mutation.set(key, value));
                        guards.add(new Precondition(key, once ? 0 : expectedRevision(key)));
                    });
            absent.forEach(k -> guards.add(new Precondition(k, 0)));
        }
        transactionInFlight = true;
        isolatedWritesLeft = Math.max(0, isolatedWritesLeft - 1);
        int mine = resetCount;
        store.compareAndSwap(
                KeyValueStore.RequestPriority.LEADER_WRITE,
                guards,
                changes,
                result -> {
                    if (mine == resetCount) {
                        transactionInFlight = false;
                        handleOutcome(batch, changes, result);
                    }
                });
    }

    private static int encodedSize(Map<String, JsonNode> values, Collection<String> absent) {
        int size = 0;
        for (Map.Entry<String, JsonNode> value : values.entrySet()) {
            size += Json.write(value.getValue()).length + 2 * value.getKey().length();
        }
        for (String key : absent) {
            size += key.length() + PRECONDITION_BYTES;
        }
        return size;
    }

    /**
     * The most urgent changes, the oldest of them first; patient ones only once they have gathered.
     * With each such time a change moves up, so that what keeps coming cannot hold it back for
     * ever.
     */
    private List<Map.Entry<String, PendingWrite>> selectNext() {
        double now = loop.now();
        List<Map.Entry<String, PendingWrite>> chosen = new ArrayList<>();
        for (int rank = 0; rank < Priority.values().length; rank++) {
            for (Map.Entry<String, PendingWrite> entry : pending.entrySet()) {
                if (chosen.size() == limits.maxMutations()) {
                    return chosen;
                }
                PendingWrite change = entry.getValue();
                int waited = (int) ((now - change.enqueuedAt) / backgroundDelayS);
                boolean ripe =
                        change.retryNotBefore <= now
                                && switch (change.priority) {
                                    case INTENT, FINAL_STATE -> true;
                                    case BATCHED -> now - change.enqueuedAt >= batchDelayS;
                                    case BACKGROUND -> waited > 0;
                                };
                if (ripe && Math.max(0, change.priority.ordinal() - waited) == rank) {
                    chosen.add(entry);
                }
            }
        }
        return chosen;
    }

    private long expectedRevision(String key) {
        return Math.max(knownRevisions.getOrDefault(key, 0L), replica.modRevision(key));
    }

    private void handleOutcome(
            Map<String, PendingWrite> batch, List<Mutation> changes, CompareAndSwapOutcome result) {
        if (result instanceof CompareAndSwapOutcome.Committed done) {
            changes.forEach(change -> knownRevisions.put(change.key(), done.revision()));
            batch.values().forEach(entry -> entry.onDurable.forEach(Runnable::run));
            flush();
            return;
        }
        if (result instanceof CompareAndSwapOutcome.Refused refused
                && refused.status() == STATUS_BAD_REQUEST) {
            handlePermanentRefusal(batch);
        }
        requeue(batch);
        paused = true;
        int mine = resetCount;
        if (result instanceof CompareAndSwapOutcome.Refused) {
            loop.after(
                    retryS,
                    () -> {
                        if (mine == resetCount) {
                            paused = false;
                            flush();
                        }
                    });
        } else {
            resolveUncertainOutcome(batch, changes);
        }
    }

    /**
     * The service will never take this transaction as it is. Of several changes one may be too
     * large, as it was stored under a higher limit: each is tried by itself. One that is refused
     * alone is divided among more keys; where that is not possible, it waits until it has changed,
     * without holding up the others.
     */
    private void handlePermanentRefusal(Map<String, PendingWrite> batch) {
        if (batch.size() > 1) {
            isolatedWritesLeft = batch.size();
            return;
        }
        batch.forEach(
                (key, entry) -> {
                    if (entry.content.split()) {
                        LOG.info("{} is too large by now and is divided", key);
                    } else {
                        LOG.warn("{} cannot be written as it is", key);
                        entry.retryNotBefore = loop.now() + backgroundDelayS;
                    }
                });
    }

    /**
     * After a conflict or no answer: what is there now decides which stamps the next try is guarded
     * by.
     */
    private void resolveUncertainOutcome(Map<String, PendingWrite> batch, List<Mutation> changes) {
        int mine = resetCount;
        synchronizer.awaitReadIndex(
                current -> {
                    if (mine != resetCount) {
                        return;
                    }
                    if (!current) {
                        loop.after(
                                retryS,
                                () -> {
                                    if (mine == resetCount) {
                                        resolveUncertainOutcome(batch, changes);
                                    }
                                });
                        return;
                    }
                    paused = false;
                    // A key in a newer version than expected was written by an earlier try of this
                    // very writer.
                    changes.forEach(change -> knownRevisions.remove(change.key()));
                    batch.forEach(
                            (key, entry) -> {
                                if (entry.onAlreadyWritten != null && replica.get(key) != null) {
                                    pending.remove(key);
                                    entry.onAlreadyWritten.run();
                                }
                            });
                    // Spaced, so that a guard which keeps failing until the replica brings the
                    // reason does not spin.
                    loop.after(retryS / 4, this::flush);
                });
    }

    /** Puts a batch back in front, joined with what was marked meanwhile. */
    private void requeue(Map<String, PendingWrite> batch) {
        Map<String, PendingWrite> later = pending;
        pending = new LinkedHashMap<>(batch);
        later.forEach(
                (key, entry) -> {
                    PendingWrite first = pending.putIfAbsent(key, entry);
                    if (first != null) {
                        first.onDurable.addAll(entry.onDurable);
                        first.priority =
                                first.priority.compareTo(entry.priority) < 0
                                        ? first.priority
                                        : entry.priority;
                    }
                });
    }
}
