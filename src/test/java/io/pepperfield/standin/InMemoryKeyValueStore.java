package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * An in-memory state service that responds synchronously. Transactions can be held and applied
 * later, or applied without a response, so that their outcome is unknown to the caller.
 */
public final class InMemoryKeyValueStore implements NoOpKeyValueStore {

    /** A transaction that has not been applied yet. */
    private record HeldTransaction(List<Precondition> preconditions, List<Mutation> changes) {}

    private final TreeMap<String, KeyValue> keys = new TreeMap<>();
    private final List<KeyValue> events = new ArrayList<>();
    private final List<HeldTransaction> heldTransactions = new ArrayList<>();
    private long revision;
    private long lastGrantId;

    /**
     * While true, transactions have an unknown outcome and are applied only by {@link
     * #applyHeldTransactions}.
     */
    public boolean holdTransactions;

    /** While true, transactions are applied but their outcome is reported as unknown. */
    public boolean dropResponses;

    /** Maximum number of mutations in a transaction; larger transactions are refused. */
    public int maxMutations = Integer.MAX_VALUE;

    /** Maximum size of a value in bytes; transactions with larger values are refused. */
    public int maxValueBytes = Integer.MAX_VALUE;

    /** Number of keys written or deleted. */
    public int mutations;

    /** Number of transactions applied that contain mutations. */
    public int transactions;

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> onResult) {
        if (holdTransactions) {
            heldTransactions.add(new HeldTransaction(preconditions, changes));
            onResult.accept(new CompareAndSwapOutcome.Unknown());
            return;
        }
        CompareAndSwapOutcome result = apply(preconditions, changes);
        onResult.accept(dropResponses ? new CompareAndSwapOutcome.Unknown() : result);
    }

    private CompareAndSwapOutcome apply(List<Precondition> preconditions, List<Mutation> changes) {
        boolean hasOversizedValue =
                changes.stream()
                        .anyMatch(
                                change ->
                                        change.value() != null
                                                && Json.write(change.value()).length
                                                        > maxValueBytes);
        if (changes.size() > maxMutations || hasOversizedValue) {
            return new CompareAndSwapOutcome.Refused(400);
        }
        List<String> failed =
                preconditions.stream()
                        .filter(
                                precondition ->
                                        modRevision(precondition.key())
                                                != precondition.modRevision())
                        .map(Precondition::key)
                        .toList();
        if (!failed.isEmpty()) {
            return new CompareAndSwapOutcome.Conflict(failed);
        }
        if (!changes.isEmpty()) {
            revision++;
            transactions++;
        }
        for (Mutation mutation : changes) {
            mutations++;
            KeyValue written = new KeyValue(mutation.key(), mutation.value(), revision);
            events.add(written);
            if (mutation.value() == null) {
                keys.remove(mutation.key());
            } else {
                keys.put(mutation.key(), written);
            }
        }
        return new CompareAndSwapOutcome.Committed(revision);
    }

    /** Applies the held transactions and returns their outcomes. */
    public List<CompareAndSwapOutcome> applyHeldTransactions() {
        List<CompareAndSwapOutcome> results = new ArrayList<>();
        heldTransactions.forEach(
                transaction -> results.add(apply(transaction.preconditions, transaction.changes)));
        heldTransactions.clear();
        return results;
    }

    /** Writes a key unconditionally, as another client would. */
    public void put(String key, JsonNode data) {
        apply(List.of(), List.of(Mutation.set(key, data)));
    }

    /** Returns the value of a key, or null if it does not exist. */
    public JsonNode get(String key) {
        KeyValue item = keys.get(key);
        return item == null ? null : item.value();
    }

    /** Returns the revision of the last write to the key, or 0 if it does not exist. */
    public long modRevision(String key) {
        KeyValue item = keys.get(key);
        return item == null ? 0 : item.modRevision();
    }

    /** Returns the number of keys with the given prefix. */
    public long count(String prefix) {
        return keys.tailMap(prefix).keySet().stream()
                .takeWhile(key -> key.startsWith(prefix))
                .count();
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> onResult) {
        List<KeyValue> page = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, KeyValue> entry : keys.tailMap(after, after.isEmpty()).entrySet()) {
            more = page.size() == 500;
            if (more) {
                break;
            }
            page.add(entry.getValue());
        }
        onResult.accept(new ReadResult.Read(page, more, revision));
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> onResult) {
        List<KeyValue> newEvents =
                events.stream().filter(event -> event.modRevision() > since).toList();
        onResult.accept(new ReadResult.Read(newEvents, false, revision));
    }

    @Override
    public void createGrant(double ttlS, Consumer<GrantOutcome> onResult) {
        onResult.accept(new GrantOutcome.Granted(++lastGrantId));
    }

    @Override
    public void renewGrant(long id, Consumer<GrantOutcome> onResult) {
        onResult.accept(new GrantOutcome.Granted(id));
    }
}
