package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.rollout.CompactRunRecordCodec.UnreadableRecordException;
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

    /** Conflicts of the version precondition: certainly not carried out, and to be tried again. */
    private static final int STALE_VERSION = 409;

    private static final int NOT_SERVING = 503;

    /**
     * Holds the leader key that is not in use, so that nobody stands for it. The value has the form
     * that releases without a gate read: to them another node leads.
     */
    private static final String FENCE_HOLDER = "stored-version-fence";

    private final KeyValueStore store;
    private final VersionGate gate;

    /** The modification revisions of run records in the compact form, by their first-form keys. */
    private final Map<String, Long> compactRecordRevisions = new HashMap<>();

    /** Keys of records of no known form, each logged once. */
    private final Set<String> unreadableKeys = new HashSet<>();

    /**
     * Creates the view through which the rest of the program uses the state service.
     *
     * @param store the state service itself
     */
    VersionedKeyValueStore(KeyValueStore store, VersionGate gate) {
        this.store = store;
        this.gate = gate;
    }

    /** A leader key that nobody holds and that is not deleted. */
    static JsonNode fenceValue() {
        return Json.object().put("node", FENCE_HOLDER).put("grant", 0);
    }

    /** The key of a run record in the second form. */
    static String compactKey(String key) {
        return Keys.V2_RUN_RECORD_PREFIX + key.substring(Keys.RUN_RECORD_PREFIX.length());
    }

    /** The key of the first form of what is stored under a key of the second. */
    static String versionOneKey(String compactKey) {
        return Keys.RUN_RECORD_PREFIX + compactKey.substring(Keys.V2_RUN_RECORD_PREFIX.length());
    }

    /** The leader key that is in use now. */
    String leaderKey() {
        return gate.fencesOlderReleases() ? Keys.V2_LEADER : Keys.LEADER;
    }

    /** How many run records are known in the compact form. */
    int compactRecordCount() {
        return compactRecordRevisions.size();
    }

    // ---- writing

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done) {
        if (!gate.mayWrite()) {
            done.accept(new CompareAndSwapOutcome.Refused(NOT_SERVING));
            return;
        }
        Map<String, Long> modRevisions = new HashMap<>();
        preconditions.forEach(
                precondition -> modRevisions.put(precondition.key(), precondition.modRevision()));
        List<Precondition> storedPreconditions = new ArrayList<>();
        storedPreconditions.add(gate.precondition());
        preconditions.forEach(precondition -> addPreconditions(precondition, storedPreconditions));
        List<Mutation> storedMutations = new ArrayList<>();
        mutations.forEach(
                mutation ->
                        addMutations(
                                mutation,
                                modRevisions.getOrDefault(mutation.key(), 0L),
                                storedMutations));
        store.compareAndSwap(
                priority,
                storedPreconditions,
                storedMutations,
                result -> done.accept(toFirstFormOutcome(result, storedMutations)));
    }

    private static boolean isRunRecord(String key) {
        return key.startsWith(Keys.RUN_RECORD_PREFIX);
    }

    /** Whether the record of this modification revision is stored in the compact form. */
    private boolean isCompact(String key, long modRevision) {
        return modRevision != 0 && compactRecordRevisions.getOrDefault(key, 0L) == modRevision;
    }

    private void addPreconditions(Precondition precondition, List<Precondition> stored) {
        if (precondition.key().equals(Keys.LEADER)) {
            stored.add(new Precondition(leaderKey(), precondition.modRevision()));
        } else if (!isRunRecord(precondition.key()) || !gate.fencesOlderReleases()) {
            stored.add(precondition);
        } else if (isCompact(precondition.key(), precondition.modRevision())) {
            stored.add(
                    new Precondition(compactKey(precondition.key()), precondition.modRevision()));
        } else {
            stored.add(precondition);
            // Not known in the compact form, and so it must not exist in it: a record may never be
            // in both.
            stored.add(new Precondition(compactKey(precondition.key()), 0));
        }
    }

    private void addMutations(Mutation mutation, long modRevision, List<Mutation> stored) {
        String key = mutation.key();
        if (key.equals(Keys.LEADER)) {
            stored.add(new Mutation(leaderKey(), mutation.value(), mutation.grant()));
        } else if (!isRunRecord(key)) {
            stored.add(mutation);
        } else if (isCompact(key, modRevision)) {
            // Also while rolling back: only the rewriting changes a record's form then, so that the
            // two never undo each other's work.
            stored.add(compactMutation(mutation));
        } else if (gate.writesCompactRunRecords()) {
            stored.add(compactMutation(mutation));
            if (modRevision != 0) {
                stored.add(Mutation.delete(key));
            }
        } else {
            stored.add(mutation);
        }
    }

    private static Mutation compactMutation(Mutation first) {
        return Mutation.set(compactKey(first.key()), CompactRunRecordCodec.encode(first.value()));
    }

    private CompareAndSwapOutcome toFirstFormOutcome(
            CompareAndSwapOutcome result, List<Mutation> mutations) {
        if (result instanceof CompareAndSwapOutcome.Committed done) {
            mutations.forEach(mutation -> recordCompactForm(mutation.key(), done.revision()));
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
        if (storedKey.equals(Keys.V2_LEADER)) {
            return Keys.LEADER;
        }
        return storedKey.startsWith(Keys.V2_RUN_RECORD_PREFIX)
                ? versionOneKey(storedKey)
                : storedKey;
    }

    private void recordCompactForm(String storedKey, long modRevision) {
        if (storedKey.startsWith(Keys.V2_RUN_RECORD_PREFIX)) {
            compactRecordRevisions.merge(versionOneKey(storedKey), modRevision, Math::max);
        }
    }

    /** A record was written in the first form: an older compact one is gone. */
    private void recordFirstForm(String key, long modRevision) {
        compactRecordRevisions.computeIfPresent(
                key, (name, known) -> known < modRevision ? null : known);
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
            addInFirstForm(item, items);
        }
        return new ReadResult.Read(items, read.hasMore(), read.revision());
    }

    /** Adds the item as it is in the first form, unless it says nothing there. */
    private void addInFirstForm(KeyValue item, List<KeyValue> items) {
        String key = item.key();
        if (key.startsWith(Keys.V2_PREFIX)) {
            addFromSecondForm(item, items);
        } else if (isRunRecord(key)) {
            // Deleted only in the same transaction that writes the other form.
            if (item.value() != null) {
                recordFirstForm(key, item.modRevision());
                items.add(item);
            }
        } else if (!key.equals(Keys.LEADER) || !isFence(item)) {
            items.add(item);
        }
    }

    private static boolean isFence(KeyValue item) {
        return item.value() != null && item.value().path("node").asText().equals(FENCE_HOLDER);
    }

    private void addFromSecondForm(KeyValue item, List<KeyValue> items) {
        if (gate.release().newestRead() < StoredVersions.COMPACT_RUN_RECORDS) {
            return;
        }
        String key = item.key();
        if (key.equals(Keys.V2_LEADER)) {
            if (!isFence(item)) {
                items.add(new KeyValue(Keys.LEADER, item.value(), item.modRevision()));
            }
        } else if (key.startsWith(Keys.V2_RUN_RECORD_PREFIX) && item.value() != null) {
            recordCompactForm(key, item.modRevision());
            JsonNode taskStates = decodeRunRecord(key, item.value());
            items.add(new KeyValue(versionOneKey(key), taskStates, item.modRevision()));
        }
    }

    /** What cannot be read is passed on as such, so that nobody takes the job for one not begun. */
    private JsonNode decodeRunRecord(String key, JsonNode data) {
        try {
            return CompactRunRecordCodec.decode(data);
        } catch (UnreadableRecordException e) {
            if (unreadableKeys.add(key)) {
                LOG.error(
                        "run record unreadable, its job is left alone: key={} reason=\"{}\"",
                        key,
                        e.getMessage());
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
