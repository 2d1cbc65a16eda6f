package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A state service that answers at once, without a network; transactions can be held back and
 * carried out later, or carried out without an answer.
 */
public final class InMemoryKeyValueStore implements NoOpKeyValueStore {

    /** A transaction that was held back. */
    private record HeldTransaction(List<Precondition> guards, List<Mutation> changes) {}

    private final TreeMap<String, KeyValue> keys = new TreeMap<>();
    private final List<KeyValue> events = new ArrayList<>();
    private final List<HeldTransaction> held = new ArrayList<>();
    private long revision;
    private long grants;

    /** Transactions get no answer and are carried out by {@link #applyHeldTransactions}. */
    public boolean holdTransactions;

    /** Transactions are carried out and get no answer. */
    public boolean dropResponses;

    /** Refused beyond so many changes in a transaction. */
    public int maxMutations = Integer.MAX_VALUE;

    /** Refused beyond so many bytes in a value. */
    public int maxValueBytes = Integer.MAX_VALUE;

    /** Single keys written or deleted, and transactions carried out. */
    public int mutations;

    public int transactions;

    @Override
    public void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> wanted,
            Consumer<CompareAndSwapOutcome> done) {
        if (holdTransactions) {
            held.add(new HeldTransaction(guards, wanted));
            done.accept(new CompareAndSwapOutcome.Unknown());
            return;
        }
        CompareAndSwapOutcome result = carryOut(guards, wanted);
        done.accept(dropResponses ? new CompareAndSwapOutcome.Unknown() : result);
    }

    private CompareAndSwapOutcome carryOut(List<Precondition> guards, List<Mutation> wanted) {
        boolean tooLong =
                wanted.stream()
                        .anyMatch(
                                change ->
                                        change.value() != null
                                                && Json.write(change.value()).length
                                                        > maxValueBytes);
        if (wanted.size() > maxMutations || tooLong) {
            return new CompareAndSwapOutcome.Refused(400);
        }
        List<String> failed =
                guards.stream()
                        .filter(guard -> modRevision(guard.key()) != guard.modRevision())
                        .map(Precondition::key)
                        .toList();
        if (!failed.isEmpty()) {
            return new CompareAndSwapOutcome.Conflict(failed);
        }
        if (!wanted.isEmpty()) {
            revision++;
            transactions++;
        }
        for (Mutation change : wanted) {
            mutations++;
            KeyValue item = new KeyValue(change.key(), change.value(), revision);
            events.add(item);
            if (change.value() == null) {
                keys.remove(change.key());
            } else {
                keys.put(change.key(), item);
            }
        }
        return new CompareAndSwapOutcome.Committed(revision);
    }

    /** Carries out what was held back; how each ended. */
    public List<CompareAndSwapOutcome> applyHeldTransactions() {
        List<CompareAndSwapOutcome> results = new ArrayList<>();
        held.forEach(late -> results.add(carryOut(late.guards, late.changes)));
        held.clear();
        return results;
    }

    /** Writes a key as somebody else. */
    public void put(String key, JsonNode data) {
        carryOut(List.of(), List.of(Mutation.set(key, data)));
    }

    /** The value under a key, or null. */
    public JsonNode get(String key) {
        KeyValue item = keys.get(key);
        return item == null ? null : item.value();
    }

    /** The revision that wrote the key, or 0. */
    public long modRevision(String key) {
        KeyValue item = keys.get(key);
        return item == null ? 0 : item.modRevision();
    }

    /** How many keys have that prefix. */
    public long count(String prefix) {
        return keys.tailMap(prefix).keySet().stream()
                .takeWhile(key -> key.startsWith(prefix))
                .count();
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        List<KeyValue> page = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, KeyValue> entry : keys.tailMap(after, after.isEmpty()).entrySet()) {
            more = page.size() == 500;
            if (more) {
                break;
            }
            page.add(entry.getValue());
        }
        done.accept(new ReadResult.Read(page, more, revision));
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        List<KeyValue> news = events.stream().filter(event -> event.modRevision() > since).toList();
        done.accept(new ReadResult.Read(news, false, revision));
    }

    @Override
    public void createGrant(double ttlS, Consumer<GrantOutcome> done) {
        done.accept(new GrantOutcome.Granted(++grants));
    }

    @Override
    public void renewGrant(long id, Consumer<GrantOutcome> done) {
        done.accept(new GrantOutcome.Granted(id));
    }
}
