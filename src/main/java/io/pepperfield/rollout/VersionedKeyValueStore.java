package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.rollout.CompactRunRecords.UnreadableRecord;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.Keys;
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
public final class VersionedKeyValueStore implements KeyValueStore {

    private static final Logger LOG = LoggerFactory.getLogger(VersionedKeyValueStore.class);

    /** Conflicts of the version guard: certainly not carried out, and to be tried again. */
    private static final int STALE_VERSION = 409;

    private static final int NOT_SERVING = 503;

    /**
     * Holds the leader key that is not in use, so that nobody stands for it. The value has the form
     * that releases without a gate read: to them another node leads.
     */
    private static final String FENCE_HOLDER = "stored-version-fence";

    private final KeyValueStore store;
    private final VersionGate gate;

    /** Of each run record in the compact form, by its key of the first form: its stamp. */
    private final Map<String, Long> compactRecordRevisions = new HashMap<>();

    /** Records of no known form, each said once. */
    private final Set<String> unreadableKeys = new HashSet<>();

    /**
     * @param raw the state service itself
     */
    VersionedKeyValueStore(KeyValueStore raw, VersionGate gate) {
        this.store = raw;
        this.gate = gate;
    }

    /** A leader key that nobody holds and that is not deleted. */
    static JsonNode fenceValue() {
        return Json.object().put("node", FENCE_HOLDER).put("grant", 0);
    }

    /** The key of a run record in the second form. */
    static String compactKey(String key) {
        return Keys.SECOND_FORM_RUN_RECORD_PREFIX + key.substring(Keys.RUN_RECORD_PREFIX.length());
    }

    /** The key of the first form of what is stored under a key of the second. */
    static String firstFormKey(String compactKey) {
        return Keys.RUN_RECORD_PREFIX
                + compactKey.substring(Keys.SECOND_FORM_RUN_RECORD_PREFIX.length());
    }

    /** The leader key that is in use now. */
    String leaderKey() {
        return gate.fencesOlderReleases() ? Keys.SECOND_FORM_LEADER : Keys.LEADER;
    }

    /** How many run records are known in the compact form. */
    int compactRecordCount() {
        return compactRecordRevisions.size();
    }

    // ---- writing

    @Override
    public void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done) {
        if (!gate.mayWrite()) {
            done.accept(new CompareAndSwapOutcome.Refused(NOT_SERVING));
            return;
        }
        Map<String, Long> stamps = new HashMap<>();
        guards.forEach(guard -> stamps.put(guard.key(), guard.modRevision()));
        List<Precondition> storedGuards = new ArrayList<>();
        storedGuards.add(gate.precondition());
        guards.forEach(guard -> addPreconditions(guard, storedGuards));
        List<Mutation> storedChanges = new ArrayList<>();
        changes.forEach(
                change ->
                        addMutations(change, stamps.getOrDefault(change.key(), 0L), storedChanges));
        store.compareAndSwap(
                urgency,
                storedGuards,
                storedChanges,
                result -> done.accept(toFirstFormOutcome(result, storedChanges)));
    }

    private static boolean isRunRecord(String key) {
        return key.startsWith(Keys.RUN_RECORD_PREFIX);
    }

    /** Whether the record that has this stamp is stored in the compact form. */
    private boolean isCompact(String key, long stamp) {
        return stamp != 0 && compactRecordRevisions.getOrDefault(key, 0L) == stamp;
    }

    private void addPreconditions(Precondition guard, List<Precondition> stored) {
        if (guard.key().equals(Keys.LEADER)) {
            stored.add(new Precondition(leaderKey(), guard.modRevision()));
        } else if (!isRunRecord(guard.key()) || !gate.fencesOlderReleases()) {
            stored.add(guard);
        } else if (isCompact(guard.key(), guard.modRevision())) {
            stored.add(new Precondition(compactKey(guard.key()), guard.modRevision()));
        } else {
            stored.add(guard);
            // Not known in the compact form, and so it must not exist in it: a record may never be
            // in both.
            stored.add(new Precondition(compactKey(guard.key()), 0));
        }
    }

    private void addMutations(Mutation change, long stamp, List<Mutation> stored) {
        String key = change.key();
        if (key.equals(Keys.LEADER)) {
            stored.add(new Mutation(leaderKey(), change.value(), change.grant()));
        } else if (!isRunRecord(key)) {
            stored.add(change);
        } else if (isCompact(key, stamp)) {
            // Also while rolling back: only the rewriting changes a record's form then, so that the
            // two never undo each other's work.
            stored.add(compactMutation(change));
        } else if (gate.writesCompactRunRecords()) {
            stored.add(compactMutation(change));
            if (stamp != 0) {
                stored.add(Mutation.delete(key));
            }
        } else {
            stored.add(change);
        }
    }

    private static Mutation compactMutation(Mutation first) {
        return Mutation.set(compactKey(first.key()), CompactRunRecords.encode(first.value()));
    }

    private CompareAndSwapOutcome toFirstFormOutcome(
            CompareAndSwapOutcome result, List<Mutation> changes) {
        if (result instanceof CompareAndSwapOutcome.Committed done) {
            changes.forEach(change -> recordCompactForm(change.key(), done.revision()));
            return result;
        }
        if (!(result instanceof CompareAndSwapOutcome.Conflict conflict)) {
            return result;
        }
        if (conflict.failedKeys().contains(Keys.ROLLOUT_VERSION)) {
            return new CompareAndSwapOutcome.Refused(STALE_VERSION);
        }
        return new CompareAndSwapOutcome.Conflict(
                conflict.failedKeys().stream().map(VersionedKeyValueStore::firstFormName).toList());
    }

    private static String firstFormName(String storedKey) {
        if (storedKey.equals(Keys.SECOND_FORM_LEADER)) {
            return Keys.LEADER;
        }
        return storedKey.startsWith(Keys.SECOND_FORM_RUN_RECORD_PREFIX)
                ? firstFormKey(storedKey)
                : storedKey;
    }

    private void recordCompactForm(String storedKey, long stamp) {
        if (storedKey.startsWith(Keys.SECOND_FORM_RUN_RECORD_PREFIX)) {
            compactRecordRevisions.merge(firstFormKey(storedKey), stamp, Math::max);
        }
    }

    /** A record was written in the first form: an older compact one is gone. */
    private void recordFirstForm(String key, long stamp) {
        compactRecordRevisions.computeIfPresent(key, (name, known) -> known < stamp ? null : known);
    }

    // ---- reading

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        store.readPage(after, result -> done.accept(toFirstForm(result)));
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        store.watch(since, holdS, result -> done.accept(toFirstForm(result)));
    }

    private ReadResult toFirstForm(ReadResult result) {
        if (!(result instanceof ReadResult.Read read)) {
            return result;
        }
        List<KeyValue> items = new ArrayList<>(read.entries().size());
        for (KeyValue item : read.entries()) {
            KeyValue known = toFirstForm(item);
            if (known != null) {
                items.add(known);
            }
        }
        return new ReadResult.Read(items, read.hasMore(), read.revision());
    }

    /** The item in the first form, or null where it says nothing there. */
    private KeyValue toFirstForm(KeyValue item) {
        String key = item.key();
        if (key.startsWith(Keys.SECOND_FORM_PREFIX)) {
            return fromSecondForm(item);
        }
        if (key.equals(Keys.LEADER)) {
            return isFence(item) ? null : item;
        }
        if (isRunRecord(key)) {
            if (item.value() == null) {
                // Deleted only in the same transaction that writes the other form.
                return null;
            }
            recordFirstForm(key, item.modRevision());
            return item;
        }
        return item;
    }

    private static boolean isFence(KeyValue item) {
        return item.value() != null && item.value().path("node").asText().equals(FENCE_HOLDER);
    }

    private KeyValue fromSecondForm(KeyValue item) {
        String key = item.key();
        if (gate.release().newestRead() < StoredVersions.COMPACT_RUN_RECORDS) {
            return null;
        }
        if (key.equals(Keys.SECOND_FORM_LEADER)) {
            return isFence(item)
                    ? null
                    : new KeyValue(Keys.LEADER, item.value(), item.modRevision());
        }
        if (!key.startsWith(Keys.SECOND_FORM_RUN_RECORD_PREFIX) || item.value() == null) {
            return null;
        }
        recordCompactForm(key, item.modRevision());
        return new KeyValue(
                firstFormKey(key), decodeRunRecord(key, item.value()), item.modRevision());
    }

    /** What cannot be read is passed on as such, so that nobody takes the job for one not begun. */
    private JsonNode decodeRunRecord(String key, JsonNode data) {
        try {
            return CompactRunRecords.decode(data);
        } catch (UnreadableRecord e) {
            if (unreadableKeys.add(key)) {
                LOG.error("{} cannot be read: {}; its job is left alone", key, e.getMessage());
            }
            return TaskState.UNREADABLE_RECORD;
        }
    }

    // ---- grants

    @Override
    public void createGrant(double ttlS, Consumer<GrantOutcome> done) {
        if (gate.mayWrite()) {
            store.createGrant(ttlS, done);
        } else {
            // Who may not write cannot lead, and must not burden the service with grants.
            done.accept(new GrantOutcome.Unavailable());
        }
    }

    @Override
    public void renewGrant(long id, Consumer<GrantOutcome> done) {
        store.renewGrant(id, done);
    }

    @Override
    public void revokeGrant(long id) {
        store.revokeGrant(id);
    }
}
