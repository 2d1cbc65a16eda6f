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
 * Presents the state service to the rest of the program in the version 1 format, whichever version
 * is stored. Reads do not depend on the active version, since each format has its own keys. Writes
 * use the format that the gate selects, and every transaction has a precondition on the version
 * record.
 *
 * <p>At any revision a run record exists in exactly one format: the write that converts it deletes
 * the key of the other format.
 */
public final class VersionedKeyValueStore implements KeyValueStore {

    private static final Logger LOG = LoggerFactory.getLogger(VersionedKeyValueStore.class);

    /**
     * Status for a conflict on the version record: the write was not applied and can be retried.
     */
    private static final int STALE_VERSION_STATUS = 409;

    private static final int NOT_SERVING_STATUS = 503;

    /**
     * Node name in the leader key that is not in use, so that no controller runs for election under
     * it. The value has the format that releases without a version gate read: they see it as
     * another node that leads.
     */
    private static final String FENCE_HOLDER = "stored-version-fence";

    private final KeyValueStore store;
    private final VersionGate gate;

    /** The modification revisions of run records in the compact format, by their version 1 keys. */
    private final Map<String, Long> compactRecordRevisions = new HashMap<>();

    /** Keys of records that cannot be decoded, each logged once. */
    private final Set<String> unreadableKeys = new HashSet<>();

    /**
     * Creates the view through which the rest of the program uses the state service.
     *
     * @param store the state service, without conversion between versions
     */
    VersionedKeyValueStore(KeyValueStore store, VersionGate gate) {
        this.store = store;
        this.gate = gate;
    }

    /** The value of the leader key that is not in use. */
    static JsonNode fenceValue() {
        return Json.object().put("node", FENCE_HOLDER).put("grant", 0);
    }

    /** The compact format's key of the run record with this version 1 key. */
    static String compactKey(String versionOneKey) {
        return Keys.V2_RUN_RECORD_PREFIX + versionOneKey.substring(Keys.RUN_RECORD_PREFIX.length());
    }

    /** The version 1 key of the run record with this key in the compact format. */
    static String versionOneKey(String compactKey) {
        return Keys.RUN_RECORD_PREFIX + compactKey.substring(Keys.V2_RUN_RECORD_PREFIX.length());
    }

    /** The leader key that is currently in use. */
    String leaderKey() {
        return gate.fencesOlderReleases() ? Keys.V2_LEADER : Keys.LEADER;
    }

    /** The number of run records known to be in the compact format. */
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
            done.accept(new CompareAndSwapOutcome.Refused(NOT_SERVING_STATUS));
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
                result -> done.accept(toVersionOneOutcome(result, storedMutations)));
    }

    private static boolean isRunRecord(String key) {
        return key.startsWith(Keys.RUN_RECORD_PREFIX);
    }

    /** Whether the record with this modification revision is stored in the compact format. */
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
            // Not known in the compact format, and so it must not exist there: a record may never
            // be stored in both formats.
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
            // Keeps the format, also during a rollback: only the rollback rewriter converts records
            // then, so that it and ordinary writes never undo each other's work.
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

    private static Mutation compactMutation(Mutation mutation) {
        return Mutation.set(
                compactKey(mutation.key()), CompactRunRecordCodec.encode(mutation.value()));
    }

    private CompareAndSwapOutcome toVersionOneOutcome(
            CompareAndSwapOutcome result, List<Mutation> mutations) {
        if (result instanceof CompareAndSwapOutcome.Committed committed) {
            mutations.forEach(
                    mutation -> recordCompactRevision(mutation.key(), committed.revision()));
            return result;
        }
        if (!(result instanceof CompareAndSwapOutcome.Conflict conflict)) {
            return result;
        }
        if (conflict.failedKeys().contains(Keys.ROLLOUT_VERSION)) {
            return new CompareAndSwapOutcome.Refused(STALE_VERSION_STATUS);
        }
        return new CompareAndSwapOutcome.Conflict(
                conflict.failedKeys().stream()
                        .map(VersionedKeyValueStore::toVersionOneKey)
                        .toList());
    }

    private static String toVersionOneKey(String storedKey) {
        if (storedKey.equals(Keys.V2_LEADER)) {
            return Keys.LEADER;
        }
        return storedKey.startsWith(Keys.V2_RUN_RECORD_PREFIX)
                ? versionOneKey(storedKey)
                : storedKey;
    }

    private void recordCompactRevision(String storedKey, long modRevision) {
        if (storedKey.startsWith(Keys.V2_RUN_RECORD_PREFIX)) {
            compactRecordRevisions.merge(versionOneKey(storedKey), modRevision, Math::max);
        }
    }

    /** Drops an older compact revision of a record that was written in the version 1 format. */
    private void dropOlderCompactRevision(String key, long modRevision) {
        compactRecordRevisions.computeIfPresent(
                key, (name, revision) -> revision < modRevision ? null : revision);
    }

    // ---- reading

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        store.readPage(after, result -> done.accept(toVersionOne(result)));
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        store.watch(since, holdS, result -> done.accept(toVersionOne(result)));
    }

    private ReadResult toVersionOne(ReadResult result) {
        if (!(result instanceof ReadResult.Read read)) {
            return result;
        }
        List<KeyValue> items = new ArrayList<>(read.entries().size());
        for (KeyValue item : read.entries()) {
            addInVersionOne(item, items);
        }
        return new ReadResult.Read(items, read.hasMore(), read.revision());
    }

    /** Adds the item in the version 1 format, unless it has no equivalent there. */
    private void addInVersionOne(KeyValue item, List<KeyValue> items) {
        String key = item.key();
        if (key.startsWith(Keys.V2_PREFIX)) {
            addFromVersionTwo(item, items);
        } else if (isRunRecord(key)) {
            // A version 1 record is deleted only in the transaction that writes it in the compact
            // format, so the deletion is not passed on.
            if (item.value() != null) {
                dropOlderCompactRevision(key, item.modRevision());
                items.add(item);
            }
        } else if (!key.equals(Keys.LEADER) || !isFence(item)) {
            items.add(item);
        }
    }

    private static boolean isFence(KeyValue item) {
        return item.value() != null && item.value().path("node").asText().equals(FENCE_HOLDER);
    }

    private void addFromVersionTwo(KeyValue item, List<KeyValue> items) {
        if (gate.release().newestRead() < StoredVersions.COMPACT_RUN_RECORDS) {
            return;
        }
        String key = item.key();
        if (key.equals(Keys.V2_LEADER)) {
            if (!isFence(item)) {
                items.add(new KeyValue(Keys.LEADER, item.value(), item.modRevision()));
            }
        } else if (key.startsWith(Keys.V2_RUN_RECORD_PREFIX) && item.value() != null) {
            recordCompactRevision(key, item.modRevision());
            JsonNode taskStates = decodeRunRecord(key, item.value());
            items.add(new KeyValue(versionOneKey(key), taskStates, item.modRevision()));
        }
    }

    /**
     * Converts a compact record to the version 1 format. One that cannot be decoded is replaced by
     * {@link TaskState#UNREADABLE_RECORD}, so that its job is not mistaken for an unstarted one.
     */
    private JsonNode decodeRunRecord(String key, JsonNode data) {
        try {
            return CompactRunRecordCodec.decode(data);
        } catch (UnreadableRecordException e) {
            if (unreadableKeys.add(key)) {
                LOG.error(
                        "run record cannot be decoded, its job is left unchanged: key={} reason=\"{}\"",
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
            // A controller that may not write cannot lead, and must not load the service with
            // grants.
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
