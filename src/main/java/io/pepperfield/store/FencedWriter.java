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
 * is in flight at a time. Besides the leader's fencing token, a transaction has the expected
 * modification revision of each of its keys as a precondition. A transaction that was abandoned and
 * reaches the store late therefore finds its keys changed and has no effect. Confined to the event
 * loop's thread.
 */
public final class FencedWriter {

    private static final Logger LOG = LoggerFactory.getLogger(FencedWriter.class);

    /** HTTP status of a request that the store will never accept unchanged. */
    private static final int STATUS_BAD_REQUEST = 400;

    /** The leadership of this controller; without a valid lease no write is sent. */
    public interface Fence {
        /** Whether this controller is the leader and its lease cannot have expired. */
        boolean holdsValidLease();

        /**
         * The precondition that lets a write take effect only while this controller is the leader.
         */
        Precondition fencingPrecondition();
    }

    /** The priority of a write when the mutation rate is limited, highest first. */
    public enum Priority {
        /** A write that must be durable before a task is started or an instance is rented. */
        INTENT,
        /** A job's final state, which users wait for. */
        FINAL_STATE,
        /**
         * An intent of the lowest job priority. Such writes are batched for a short time, so that
         * many small jobs cost one mutation instead of one each.
         */
        BATCHED,
        /**
         * A completed or lost task. If the write is lost, a worker that still holds the task
         * reports it again, or the task is run again.
         */
        BACKGROUND
    }

    /** The content of a write: one or several keys, written in one transaction. */
    public interface Content {

        /**
         * Returns the keys and their values at the time of the write, in the order of the
         * mutations.
         */
        Map<String, JsonNode> values();

        /**
         * Splits values that the store refuses for their size.
         *
         * @return whether the values are spread over more keys from now on, so that a retry can
         *     succeed
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

    /** Modification revisions of keys written here, which the replica may not have received yet. */
    private final Map<String, Long> knownRevisions = new HashMap<>();

    private boolean transactionInFlight;

    /** No transaction is sent while the outcome of the last one is being resolved. */
    private boolean paused;

    /** Number of the leader term; callbacks of earlier terms are ignored. */
    private int term;

    /**
     * Number of writes still to be sent individually after a transaction was refused as a whole.
     */
    private int remainingIsolatedWrites;

    /**
     * @param retryS seconds between a refusal and the next attempt, and for which batched writes
     *     are collected
     * @param backgroundDelayS seconds for which background writes are collected, so that many
     *     changes of one run record cost one mutation
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

    /** Drops all pending writes at the end of a leader term. */
    public void reset() {
        queue.clear();
        knownRevisions.clear();
        transactionInFlight = false;
        paused = false;
        remainingIsolatedWrites = 0;
        term++;
    }

    /** The number of pending writes. */
    public int pendingCount() {
        return queue.size();
    }

    /**
     * Writes one key without a callback.
     *
     * @see #enqueue(String, Priority, Supplier, Runnable)
     */
    public void enqueue(String key, Priority priority, Supplier<JsonNode> value) {
        enqueuePending(key, priority, () -> Map.of(key, value.get()), List::of);
    }

    /**
     * Writes one key. Keys are never deleted here: the delayed first write of a deleted key would
     * find it absent, as its precondition requires, and recreate it.
     *
     * @param value supplies the value at the time of the write
     * @param onDurable run once the value is durable
     */
    public void enqueue(
            String key, Priority priority, Supplier<JsonNode> value, Runnable onDurable) {
        enqueue(key, priority, () -> Map.of(key, value.get()), List::of, onDurable);
    }

    /**
     * Writes one or several keys, on condition that certain other keys do not exist.
     *
     * @param key the first key of the content, which identifies the pending write
     * @param requiredAbsent supplies, at the time of the write, the keys that must not exist
     * @param onDurable run once the values are durable
     */
    public void enqueue(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> requiredAbsent,
            Runnable onDurable) {
        enqueuePending(key, priority, content, requiredAbsent).addCallback(onDurable);
    }

    private PendingWrite enqueuePending(
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
     * Writes a key that may be written only once.
     *
     * @param value supplies the value at the time of the write
     * @param onDurable run once the value is durable
     * @param onAlreadyWritten run instead if the key has already been written
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
     * Drops the pending write of a key that is no longer needed, and runs its callbacks as if it
     * were durable.
     */
    public void discard(String key) {
        PendingWrite write = queue.remove(key);
        if (write != null) {
            write.notifyDurable();
        }
    }

    /**
     * Sends the next transaction if none is in flight and writes are ready. Must be called after
     * each batch of commands.
     */
    public void flush() {
        if (transactionInFlight || paused || queue.isEmpty() || !fence.holdsValidLease()) {
            return;
        }
        List<PendingWrite> ready = queue.selectReady(loop.now(), limits.maxMutations());
        if (ready.isEmpty()) {
            return;
        }
        WriteTransaction transaction = buildTransaction(ready);
        transactionInFlight = true;
        remainingIsolatedWrites = Math.max(0, remainingIsolatedWrites - 1);
        int sentTerm = term;
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                transaction.preconditions(),
                transaction.mutations(),
                outcome -> {
                    if (sentTerm == term) {
                        transactionInFlight = false;
                        handleOutcome(transaction, outcome);
                    }
                });
    }

    private WriteTransaction buildTransaction(List<PendingWrite> ready) {
        int maxWrites = remainingIsolatedWrites > 0 ? 1 : Integer.MAX_VALUE;
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
            scheduleRetry(this::resume);
        } else {
            resolveUncertainOutcome(transaction);
        }
    }

    private void resume() {
        paused = false;
        flush();
    }

    /** Runs the command after the retry pause, unless the leader term has ended in the meantime. */
    private void scheduleRetry(Runnable command) {
        int scheduledTerm = term;
        loop.schedule(
                retryS,
                () -> {
                    if (scheduledTerm == term) {
                        command.run();
                    }
                });
    }

    /**
     * Handles a transaction that the store will never accept unchanged. One of several writes may
     * be too large because its value was stored under a higher limit; each is then sent
     * individually. A write that is refused on its own is split over more keys; if that is not
     * possible, it is retried after a delay, when its value may have changed, without blocking the
     * others.
     */
    private void handlePermanentRefusal(List<PendingWrite> refused) {
        if (refused.size() > 1) {
            remainingIsolatedWrites = refused.size();
            return;
        }
        PendingWrite write = refused.get(0);
        if (write.split()) {
            LOG.info(
                    "stored value exceeds the size limit, split over more keys: key={}",
                    write.key());
        } else {
            LOG.warn(
                    "key-value store refused the write, retrying later: key={} retryAfterS={}",
                    write.key(),
                    backgroundDelayS);
            write.retryNotBefore(loop.now() + backgroundDelayS);
        }
    }

    /**
     * Resolves a conflict or an unknown outcome: waits until the replica is current, whose
     * revisions are then the expected ones of the next attempt.
     */
    private void resolveUncertainOutcome(WriteTransaction transaction) {
        int sentTerm = term;
        synchronizer.awaitReadIndex(
                current -> {
                    if (sentTerm != term) {
                        return;
                    }
                    if (current) {
                        retryFromReplica(transaction);
                    } else {
                        scheduleRetry(() -> resolveUncertainOutcome(transaction));
                    }
                });
    }

    private void retryFromReplica(WriteTransaction transaction) {
        paused = false;
        // A key with a newer revision than expected was written by an earlier attempt of this
        // writer.
        transaction.mutations().forEach(mutation -> knownRevisions.remove(mutation.key()));
        for (PendingWrite write : transaction.writes()) {
            if (write.isWriteOnce() && replica.contains(write.key())) {
                queue.remove(write.key());
                write.notifyAlreadyWritten();
            }
        }
        // The delay prevents a busy loop while a precondition fails for a reason that the replica
        // has not received yet.
        loop.schedule(retryS / 4, this::flush);
    }
}
