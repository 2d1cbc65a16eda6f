package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.rollout.CompactRunRecords.UnreadableRecord;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state service as the rest of the program sees it, whatever version is stored: keys and values
 * are those of the first form. Reading needs no knowledge of the active version, since each form
 * has keys of its own; writing asks the gate, and every transaction is guarded by the version
 * record.
 *
 * <p>At any revision a run record exists in exactly one form: the write that changes its form
 * deletes the other key.
 */
public final class VersionedStateService implements StateService {

    private static final Logger LOG = LoggerFactory.getLogger(VersionedStateService.class);

    /** Conflicts of the version guard: certainly not carried out, and to be tried again. */
    private static final int STALE_VERSION = 409;

    private static final int NOT_SERVING = 503;

    /**
     * Holds the leader key that is not in use, so that nobody stands for it. The value has the form
     * that releases without a gate read: to them another node leads.
     */
    private static final String FENCE = "stored-version-fence";

    private final StateService raw;
    private final VersionGate gate;

    /** Of each run record in the compact form, by its key of the first form: its stamp. */
    private final Map<String, Long> compact = new HashMap<>();

    /** Records of no known form, each said once. */
    private final Set<String> unreadable = new HashSet<>();

    /**
     * @param raw the state service itself
     */
    VersionedStateService(StateService raw, VersionGate gate) {
        this.raw = raw;
        this.gate = gate;
    }

    /** A leader key that nobody holds and that is not deleted. */
    static JsonNode fence() {
        return Json.object().put("node", FENCE).put("grant", 0);
    }

    /** The key of a run record in the second form. */
    static String compactKey(String key) {
        return Keys.SECOND_RUN + key.substring(Keys.RUN.length());
    }

    /** The key of the first form of what is stored under a key of the second. */
    static String firstKey(String compactKey) {
        return Keys.RUN + compactKey.substring(Keys.SECOND_RUN.length());
    }

    /** The leader key that is in use now. */
    String leaderKey() {
        return gate.fenced() ? Keys.SECOND_LEADER : Keys.LEADER;
    }

    /** How many run records are known in the compact form. */
    int compactRecords() {
        return compact.size();
    }

    // ---- writing

    @Override
    public void txn(
            Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done) {
        if (!gate.mayWrite()) {
            done.accept(new TxnResult.Refused(NOT_SERVING));
            return;
        }
        Map<String, Long> stamps = new HashMap<>();
        guards.forEach(guard -> stamps.put(guard.key(), guard.stamp()));
        List<Guard> storedGuards = new ArrayList<>();
        storedGuards.add(gate.guard());
        guards.forEach(guard -> addGuards(guard, storedGuards));
        List<Change> storedChanges = new ArrayList<>();
        changes.forEach(
                change -> addChanges(change, stamps.getOrDefault(change.key(), 0L), storedChanges));
        raw.txn(
                urgency,
                storedGuards,
                storedChanges,
                result -> done.accept(result(result, storedChanges)));
    }

    private static boolean isRunRecord(String key) {
        return key.startsWith(Keys.RUN);
    }

    /** Whether the record that has this stamp is stored in the compact form. */
    private boolean isCompact(String key, long stamp) {
        return stamp != 0 && compact.getOrDefault(key, 0L) == stamp;
    }

    private void addGuards(Guard guard, List<Guard> stored) {
        if (guard.key().equals(Keys.LEADER)) {
            stored.add(new Guard(leaderKey(), guard.stamp()));
        } else if (!isRunRecord(guard.key()) || !gate.fenced()) {
            stored.add(guard);
        } else if (isCompact(guard.key(), guard.stamp())) {
            stored.add(new Guard(compactKey(guard.key()), guard.stamp()));
        } else {
            stored.add(guard);
            // Not known in the compact form, and so it must not exist in it: a record may never be
            // in both.
            stored.add(new Guard(compactKey(guard.key()), 0));
        }
    }

    private void addChanges(Change change, long stamp, List<Change> stored) {
        String key = change.key();
        if (key.equals(Keys.LEADER)) {
            stored.add(new Change(leaderKey(), change.data(), change.grant()));
        } else if (!isRunRecord(key)) {
            stored.add(change);
        } else if (isCompact(key, stamp)) {
            // Also while rolling back: only the rewriting changes a record's form then, so that the
            // two never undo each other's work.
            stored.add(compactChange(change));
        } else if (gate.writesCompactRunRecords()) {
            stored.add(compactChange(change));
            if (stamp != 0) {
                stored.add(Change.delete(key));
            }
        } else {
            stored.add(change);
        }
    }

    private static Change compactChange(Change first) {
        return Change.set(compactKey(first.key()), CompactRunRecords.encode(first.data()));
    }

    private TxnResult result(TxnResult result, List<Change> changes) {
        if (result instanceof TxnResult.Committed done) {
            changes.forEach(change -> noteCompact(change.key(), done.revision()));
            return result;
        }
        if (!(result instanceof TxnResult.Conflict conflict)) {
            return result;
        }
        if (conflict.failed().contains(Keys.ROLLOUT_VERSION)) {
            return new TxnResult.Refused(STALE_VERSION);
        }
        return new TxnResult.Conflict(
                conflict.failed().stream().map(VersionedStateService::nameOf).toList());
    }

    private static String nameOf(String storedKey) {
        if (storedKey.equals(Keys.SECOND_LEADER)) {
            return Keys.LEADER;
        }
        return storedKey.startsWith(Keys.SECOND_RUN) ? firstKey(storedKey) : storedKey;
    }

    private void noteCompact(String storedKey, long stamp) {
        if (storedKey.startsWith(Keys.SECOND_RUN)) {
            compact.merge(firstKey(storedKey), stamp, Math::max);
        }
    }

    /** A record was written in the first form: an older compact one is gone. */
    private void noteFirst(String key, long stamp) {
        compact.computeIfPresent(key, (name, known) -> known < stamp ? null : known);
    }

    // ---- reading

    @Override
    public void range(String after, Consumer<ReadResult> done) {
        raw.range(after, result -> done.accept(translated(result)));
    }

    @Override
    public void follow(long since, double holdS, Consumer<ReadResult> done) {
        raw.follow(since, holdS, result -> done.accept(translated(result)));
    }

    private ReadResult translated(ReadResult result) {
        if (!(result instanceof ReadResult.Read read)) {
            return result;
        }
        List<Item> items = new ArrayList<>(read.items().size());
        for (Item item : read.items()) {
            Item known = translated(item);
            if (known != null) {
                items.add(known);
            }
        }
        return new ReadResult.Read(items, read.more(), read.revision());
    }

    /** The item in the first form, or null where it says nothing there. */
    private Item translated(Item item) {
        String key = item.key();
        if (key.startsWith(Keys.SECOND)) {
            return secondForm(item);
        }
        if (key.equals(Keys.LEADER)) {
            return isFence(item) ? null : item;
        }
        if (isRunRecord(key)) {
            if (item.data() == null) {
                // Deleted only in the same transaction that writes the other form.
                return null;
            }
            noteFirst(key, item.stamp());
            return item;
        }
        return item;
    }

    private static boolean isFence(Item item) {
        return item.data() != null && item.data().path("node").asText().equals(FENCE);
    }

    private Item secondForm(Item item) {
        String key = item.key();
        if (gate.release().newestRead() < StoredVersions.COMPACT_RUN_RECORDS) {
            return null;
        }
        if (key.equals(Keys.SECOND_LEADER)) {
            return isFence(item) ? null : new Item(Keys.LEADER, item.data(), item.stamp());
        }
        if (!key.startsWith(Keys.SECOND_RUN) || item.data() == null) {
            return null;
        }
        noteCompact(key, item.stamp());
        return new Item(firstKey(key), decoded(key, item.data()), item.stamp());
    }

    /** What cannot be read is passed on as such, so that nobody takes the job for one not begun. */
    private JsonNode decoded(String key, JsonNode data) {
        try {
            return CompactRunRecords.decode(data);
        } catch (UnreadableRecord e) {
            if (unreadable.add(key)) {
                LOG.error("{} cannot be read: {}; its job is left alone", key, e.getMessage());
            }
            return RunRecord.UNREADABLE;
        }
    }

    // ---- grants

    @Override
    public void grant(double ttlS, Consumer<GrantResult> done) {
        if (gate.mayWrite()) {
            raw.grant(ttlS, done);
        } else {
            // Who may not write cannot lead, and must not burden the service with grants.
            done.accept(new GrantResult(0, false));
        }
    }

    @Override
    public void touch(long id, Consumer<GrantResult> done) {
        raw.touch(id, done);
    }

    @Override
    public void endGrant(long id) {
        raw.endGrant(id);
    }
}
