package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit of the leader's durable writes: many keys share one transaction, and one transaction
 * is in flight at a time. Every key has its expected modification revision as a precondition
 * besides the leader's fencing token, so that a transaction that was given up and is applied late
 * finds its keys changed and does nothing. Confined to the event loop's thread.
 */
public final class FencedWriter {

    private static final Logger LOG = LoggerFactory.getLogger(FencedWriter.class);

    /** HTTP's status of a request that will never be carried out as it is. */
    private static final int STATUS_BAD_REQUEST = 400;

    /** The leadership of this controller; without a valid lease a write is not even tried. */
    public interface Fence {
        /** Whether this controller leads and its lease cannot have expired. */
        boolean holdsValidLease();

        /** The precondition that proves the leadership when the write takes effect. */
        Precondition fencingPrecondition();
    }

    /** What goes first when mutations are short, in this order. */
    public enum Priority {
        /** A task waits to be started, or an instance to be rented. */
        INTENT,
        /** A final state, which users wait for. */
        FINAL_STATE,
        /**
         * An intent of the lowest priority: gathered for a moment, so that a swarm of small jobs
         * costs one mutation and not one each.
         */
        BATCHED,
        /**
         * A completed or lost task: if the write is lost, a worker that still holds the task
         * reports it again, or the task runs once more.
         */
        BACKGROUND
    }

    /** What is to be written under one or several keys, in one transaction. */
    public interface Content {

        /** The keys and their values at the time of the write, in the order of the mutations. */
        Map<String, JsonNode> values();

        /**
         * The store refuses the values for their size.
         *
         * @return whether they are split among more keys from now on, so that another try makes
         *     sense
         */
        default boolean split() {
            return false;
        }
    }

    private final Loop loop;
    private final KeyValueStore store;
    private final Replica replica;
    private final ReplicaSynchronizer synchronizer;
    private final Fence fence;
    private final TransactionLimits limits;
    private final double retryS;
    private final double backgroundDelayS;
    private final WriteQueue queue;

    /** Of keys written here, the modification revision, which the replica may not have yet. */
    private final Map<String, Long> knownRevisions = new HashMap<>();

    private boolean transactionInFlight;

    /** No transaction is sent while the outcome of the last one is looked into. */
    private boolean paused;

    /** Tells callbacks of a leadership that has ended from those of the present one. */
    private int term;

    /** How many writes are still tried one by one, after a transaction was refused whole. */
    private int isolatedWritesLeft;

    /**
     * @param retryS seconds between a refusal and the next try, and how long batched writes are
     *     gathered
     * @param backgroundDelayS seconds for which background writes are gathered, so that the many of
     *     one run record cost one mutation
     */
    public FencedWriter(
            Loop loop,
            KeyValueStore store,
            Replica replica,
            ReplicaSynchronizer synchronizer,
            Fence fence,
            TransactionLimits limits,
            double retryS,
            double backgroundDelayS) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.synchronizer = synchronizer;
        this.fence = fence;
        this.limits = limits;
        this.retryS = retryS;
        this.backgroundDelayS = backgroundDelayS;
        this.queue = new WriteQueue(retryS, backgroundDelayS);
    }

    /** Drops what was waiting: it belongs to a leadership that has ended. */
    public void reset() {
        queue.clear();
        knownRevisions.clear();
        transactionInFlight = false;
        paused = false;
        isolatedWritesLeft = 0;
        term++;
    }

    /** The number of keys waiting to be written. */
    public int pendingCount() {
        return queue.size();
    }

    /**
     * Writes one key without telling anybody.
     *
     * @see #enqueue(String, Priority, Supplier, Runnable)
     */
    public void enqueue(String key, Priority priority, Supplier<JsonNode> value) {
        pending(key, priority, () -> Map.of(key, value.get()), List::of);
    }

    /**
     * Writes one key. Keys are never deleted here: a late first write would find its key missing,
     * as it expects, and bring it back.
     *
     * @param value gives the value at the time of the write
     * @param onDurable run once the value is durable
     */
    public void enqueue(
            String key, Priority priority, Supplier<JsonNode> value, Runnable onDurable) {
        enqueue(key, priority, () -> Map.of(key, value.get()), List::of, onDurable);
    }

    /**
     * Writes one or several keys, which may only take effect while certain other keys do not exist.
     *
     * @param key the first key of the content, by which the write is known here
     * @param requiredAbsent gives the keys that must not exist, at the time of the write
     * @param onDurable run once the values are durable
     */
    public void enqueue(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> requiredAbsent,
            Runnable onDurable) {
        pending(key, priority, content, requiredAbsent).addCallback(onDurable);
    }

    private PendingWrite pending(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> requiredAbsent) {
        PendingWrite write =
                queue.computeIfAbsent(
                        key,
                        () ->
                                PendingWrite.repeatable(
                                        key, priority, content, requiredAbsent, loop.now()));
        write.raisePriority(priority);
        return write;
    }

    /**
     * Writes a key that is written only once.
     *
     * @param value gives the value at the time of the write
     * @param onDurable run once the value is durable
     * @param onAlreadyWritten run instead where the key is found written
     */
    public void enqueueOnce(
            String key,
            Priority priority,
            Supplier<JsonNode> value,
            Runnable onDurable,
            Runnable onAlreadyWritten) {
        PendingWrite write =
                queue.computeIfAbsent(
                        key,
                        () ->
                                PendingWrite.once(
                                        key,
                                        priority,
                                        () -> Map.of(key, value.get()),
                                        onAlreadyWritten,
                                        loop.now()));
        write.raisePriority(priority);
        write.addCallback(onDurable);
    }

    /**
     * What was to be written under the key is of no consequence any more; whoever waited for it
     * goes on.
     */
    public void discard(String key) {
        PendingWrite write = queue.remove(key);
        if (write != null) {
            write.notifyDurable();
        }
    }

    /** Sends the next transaction if it may leave; to be called after each batch of commands. */
    public void flush() {
        if (transactionInFlight || paused || queue.isEmpty() || !fence.holdsValidLease()) {
            return;
        }
        List<PendingWrite> ready = queue.selectReady(loop.now(), limits.maxMutations());
        if (ready.isEmpty()) {
            return;
        }
        WriteTransaction transaction = transaction(ready);
        transactionInFlight = true;
        isolatedWritesLeft = Math.max(0, isolatedWritesLeft - 1);
        int sentIn = term;
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                transaction.preconditions(),
                transaction.mutations(),
                outcome -> {
                    if (sentIn == term) {
                        transactionInFlight = false;
                        handleOutcome(transaction, outcome);
                    }
                });
    }

    private WriteTransaction transaction(List<PendingWrite> ready) {
        int maxWrites = isolatedWritesLeft > 0 ? 1 : Integer.MAX_VALUE;
        WriteTransaction transaction =
                new WriteTransaction(limits, maxWrites, fence.fencingPrecondition());
        for (PendingWrite write : ready) {
            if (!transaction.tryAdd(write, this::expectedRevision)) {
                break;
            }
            queue.remove(write.key());
        }
        return transaction;
    }

    private long expectedRevision(String key) {
        return Math.max(knownRevisions.getOrDefault(key, 0L), replica.modRevision(key));
    }

    private void handleOutcome(WriteTransaction transaction, CompareAndSwapOutcome outcome) {
        if (outcome instanceof CompareAndSwapOutcome.Committed committed) {
            transaction
                    .mutations()
                    .forEach(mutation -> knownRevisions.put(mutation.key(), committed.revision()));
            transaction.writes().forEach(PendingWrite::notifyDurable);
            flush();
            return;
        }
        if (outcome instanceof CompareAndSwapOutcome.Refused refused
                && refused.status() == STATUS_BAD_REQUEST) {
            handlePermanentRefusal(transaction.writes());
        }
        queue.requeue(transaction.writes());
        paused = true;
        if (outcome instanceof CompareAndSwapOutcome.Refused) {
            afterRetryPause(this::resume);
        } else {
            resolveUncertainOutcome(transaction);
        }
    }

    private void resume() {
        paused = false;
        flush();
    }

    /** Runs the command after the retry pause, unless the leadership has ended by then. */
    private void afterRetryPause(Runnable command) {
        int scheduledIn = term;
        loop.schedule(
                retryS,
                () -> {
                    if (scheduledIn == term) {
                        command.run();
                    }
                });
    }

    /**
     * The store will never take this transaction as it is. Of several writes one may be too large,
     * as it was stored under a higher limit: each is tried by itself. One that is refused alone is
     * split among more keys; where that is not possible, it waits until it has changed, without
     * holding up the others.
     */
    private void handlePermanentRefusal(List<PendingWrite> refused) {
        if (refused.size() > 1) {
            isolatedWritesLeft = refused.size();
            return;
        }
        PendingWrite write = refused.get(0);
        if (write.split()) {
            LOG.info(
                    "stored value is too large by now, split among more keys: key={}", write.key());
        } else {
            LOG.warn(
                    "write refused by the key-value store, retried later: key={} retryAfterS={}",
                    write.key(),
                    backgroundDelayS);
            write.retryNotBefore(loop.now() + backgroundDelayS);
        }
    }

    /**
     * After a conflict or without an answer: what the replica holds once it is current decides
     * which revisions the next try expects.
     */
    private void resolveUncertainOutcome(WriteTransaction transaction) {
        int sentIn = term;
        synchronizer.awaitReadIndex(
                current -> {
                    if (sentIn != term) {
                        return;
                    }
                    if (current) {
                        retryFromReplica(transaction);
                    } else {
                        afterRetryPause(() -> resolveUncertainOutcome(transaction));
                    }
                });
    }

    private void retryFromReplica(WriteTransaction transaction) {
        paused = false;
        // A key in a newer revision than expected was written by an earlier try of this very
        // writer.
        transaction.mutations().forEach(mutation -> knownRevisions.remove(mutation.key()));
        for (PendingWrite write : transaction.writes()) {
            if (write.isWriteOnce() && replica.contains(write.key())) {
                queue.remove(write.key());
                write.notifyAlreadyWritten();
            }
        }
        // Spaced, so that a precondition which keeps failing until the replica brings the reason
        // does not spin.
        loop.schedule(retryS / 4, this::flush);
    }
}
