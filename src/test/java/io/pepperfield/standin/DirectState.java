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
public final class DirectState implements SilentStateService {

    /** A transaction that was held back. */
    private record Held(List<Guard> guards, List<Change> changes) {}

    private final TreeMap<String, Item> keys = new TreeMap<>();
    private final List<Item> events = new ArrayList<>();
    private final List<Held> held = new ArrayList<>();
    private long revision;
    private long grants;

    /** Transactions get no answer and are carried out by {@link #deliver}. */
    public boolean holds;

    /** Transactions are carried out and get no answer. */
    public boolean losesAnswers;

    /** Refused beyond so many changes in a transaction. */
    public int mostChanges = Integer.MAX_VALUE;

    /** Refused beyond so many bytes in a value. */
    public int mostValueBytes = Integer.MAX_VALUE;

    /** Single keys written or deleted, and transactions carried out. */
    public int changes;

    public int transactions;

    @Override
    public void txn(
            Urgency urgency, List<Guard> guards, List<Change> wanted, Consumer<TxnResult> done) {
        if (holds) {
            held.add(new Held(guards, wanted));
            done.accept(new TxnResult.Unknown());
            return;
        }
        TxnResult result = carryOut(guards, wanted);
        done.accept(losesAnswers ? new TxnResult.Unknown() : result);
    }

    private TxnResult carryOut(List<Guard> guards, List<Change> wanted) {
        boolean tooLong =
                wanted.stream()
                        .anyMatch(
                                change ->
                                        change.data() != null
                                                && Json.write(change.data()).length
                                                        > mostValueBytes);
        if (wanted.size() > mostChanges || tooLong) {
            return new TxnResult.Refused(400);
        }
        List<String> failed =
                guards.stream()
                        .filter(guard -> stamp(guard.key()) != guard.stamp())
                        .map(Guard::key)
                        .toList();
        if (!failed.isEmpty()) {
            return new TxnResult.Conflict(failed);
        }
        if (!wanted.isEmpty()) {
            revision++;
            transactions++;
        }
        for (Change change : wanted) {
            changes++;
            Item item = new Item(change.key(), change.data(), revision);
            events.add(item);
            if (change.data() == null) {
                keys.remove(change.key());
            } else {
                keys.put(change.key(), item);
            }
        }
        return new TxnResult.Committed(revision);
    }

    /** Carries out what was held back; how each ended. */
    public List<TxnResult> deliver() {
        List<TxnResult> results = new ArrayList<>();
        held.forEach(late -> results.add(carryOut(late.guards, late.changes)));
        held.clear();
        return results;
    }

    /** Writes a key as somebody else. */
    public void put(String key, JsonNode data) {
        carryOut(List.of(), List.of(Change.set(key, data)));
    }

    /** The value under a key, or null. */
    public JsonNode get(String key) {
        Item item = keys.get(key);
        return item == null ? null : item.data();
    }

    /** The revision that wrote the key, or 0. */
    public long stamp(String key) {
        Item item = keys.get(key);
        return item == null ? 0 : item.stamp();
    }

    /** How many keys have that prefix. */
    public long count(String prefix) {
        return keys.tailMap(prefix).keySet().stream().takeWhile(k -> k.startsWith(prefix)).count();
    }

    @Override
    public void range(String after, Consumer<ReadResult> done) {
        List<Item> page = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Item> entry : keys.tailMap(after, after.isEmpty()).entrySet()) {
            more = page.size() == 500;
            if (more) {
                break;
            }
            page.add(entry.getValue());
        }
        done.accept(new ReadResult.Read(page, more, revision));
    }

    @Override
    public void follow(long since, double holdS, Consumer<ReadResult> done) {
        List<Item> news = events.stream().filter(event -> event.stamp() > since).toList();
        done.accept(new ReadResult.Read(news, false, revision));
    }

    @Override
    public void grant(double ttlS, Consumer<GrantResult> done) {
        done.accept(new GrantResult(++grants, false));
    }

    @Override
    public void touch(long id, Consumer<GrantResult> done) {
        done.accept(new GrantResult(id, false));
    }
}
