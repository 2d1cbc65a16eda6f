package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.loop.Loop;
import io.pepperfield.rollout.CompactRunRecordCodec.UnreadableRecordException;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.ReadResult;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rewrites compact records in the first form during a rollback, a few in each transaction and at a
 * bounded rate. What is left is found from the keys, so that any leader can go on where another
 * ended. Each rewriting is guarded by the compact record's modification revision: a write of the
 * leader in between makes it fail, and the record is read again.
 */
final class RollbackRewriter {

    private static final Logger LOG = LoggerFactory.getLogger(RollbackRewriter.class);

    /** The part of the service's changes per second that rewriting may use. */
    private static final double RATE_SHARE = 0.25;

    /** Each record is a put and a deletion. */
    private static final int MUTATIONS_PER_RECORD = 2;

    /** The service will never take the transaction as it is. */
    private static final int BAD_REQUEST = 400;

    /** Sorts right before all compact records. */
    private static final String SCAN_START =
            Keys.V2_RUN_RECORD_PREFIX.substring(0, Keys.V2_RUN_RECORD_PREFIX.length() - 1);

    /** How the next records are written, after a transaction was refused for good. */
    private enum Batching {
        /** Several at a time. */
        BATCH,
        /** One by one, as one of them may be too large. */
        SINGLE_RECORD,
        /** One, among several keys. */
        SPLIT_RECORD
    }

    private final Loop loop;
    private final KeyValueStore store;
    private final VersionGate gate;
    private final VersionTransitions versionTransitions;
    private final Function<String, Optional<JobSpec>> jobSpecs;
    private final int maxRecordsPerTransaction;
    private final double secondsPerMutation;

    private boolean stepInFlight;
    private double nextStepAt;
    private String scanPosition = SCAN_START;

    /** The version record that this reading began under: none is written compactly since then. */
    private long scanVersionRevision;

    /** Whether a record could not be rewritten since the reading began anew. */
    private boolean recordSkipped;

    private Batching batching = Batching.BATCH;

    /**
     * Creates a rewriter that has not read anything yet.
     *
     * @param jobSpecs gives the description of an accepted job
     */
    RollbackRewriter(
            Loop loop,
            KeyValueStore store,
            VersionGate gate,
            VersionTransitions versionTransitions,
            Function<String, Optional<JobSpec>> jobSpecs,
            int maxMutations,
            double writesPerS) {
        this.loop = loop;
        this.store = store;
        this.gate = gate;
        this.versionTransitions = versionTransitions;
        this.jobSpecs = jobSpecs;
        this.maxRecordsPerTransaction = Math.max(1, maxMutations / MUTATIONS_PER_RECORD);
        this.secondsPerMutation = 1 / (RATE_SHARE * writesPerS);
    }

    /** To be called often while this node leads and a rollback is under way. */
    void tick() {
        if (stepInFlight || loop.now() < nextStepAt) {
            return;
        }
        if (gate.precondition().modRevision() != scanVersionRevision) {
            // Records may have been written compactly anew, also before the place reached then.
            scanVersionRevision = gate.precondition().modRevision();
            restartScan();
        }
        stepInFlight = true;
        long readUnder = scanVersionRevision;
        store.readPage(scanPosition, result -> onPageRead(result, readUnder));
    }

    private void finishStep(int mutations) {
        stepInFlight = false;
        nextStepAt = loop.now() + Math.max(1, mutations) * secondsPerMutation;
    }

    private void restartScan() {
        scanPosition = SCAN_START;
        recordSkipped = false;
        batching = Batching.BATCH;
    }

    /** The rollback does not end while a record is left out. */
    private void skipRecord(String last) {
        scanPosition = last;
        recordSkipped = true;
        batching = Batching.BATCH;
    }

    private void onPageRead(ReadResult result, long readUnder) {
        if (!(result instanceof ReadResult.Read read)
                || gate.precondition().modRevision() != readUnder
                || gate.version().phase() != ClusterVersion.Phase.ROLLING_BACK) {
            finishStep(1);
            return;
        }
        List<KeyValue> records =
                read.entries().stream()
                        .filter(item -> item.key().startsWith(Keys.V2_RUN_RECORD_PREFIX))
                        .limit(batching == Batching.BATCH ? maxRecordsPerTransaction : 1)
                        .toList();
        if (!records.isEmpty()) {
            rewrite(records);
        } else if (read.hasMore()) {
            scanPosition = read.entries().get(read.entries().size() - 1).key();
            finishStep(1);
        } else {
            finishScan();
        }
    }

    private void finishScan() {
        if (recordSkipped) {
            restartScan();
            finishStep(maxRecordsPerTransaction);
            return;
        }
        versionTransitions.completeRollback(
                answer -> {
                    restartScan();
                    finishStep(1);
                });
    }

    private void rewrite(List<KeyValue> records) {
        List<Precondition> preconditions = versionTransitions.leaderPreconditions();
        List<Mutation> mutations = new ArrayList<>();
        for (KeyValue record : records) {
            try {
                addRewrite(record, preconditions, mutations);
            } catch (UnreadableRecordException e) {
                // Neither guessed nor lost.
                LOG.warn(
                        "run record not rewritten: key={} reason=\"{}\"",
                        record.key(),
                        e.getMessage());
                recordSkipped = true;
            }
        }
        String last = records.get(records.size() - 1).key();
        if (mutations.isEmpty()) {
            skipRecord(last);
            finishStep(1);
            return;
        }
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                preconditions,
                mutations,
                result -> {
                    onWritten(result, records.size(), last);
                    finishStep(mutations.size());
                });
    }

    private void addRewrite(
            KeyValue record, List<Precondition> preconditions, List<Mutation> mutations)
            throws UnreadableRecordException {
        String key = VersionedKeyValueStore.versionOneKey(record.key());
        JsonNode taskStates = CompactRunRecordCodec.decode(record.value());
        if (batching == Batching.SPLIT_RECORD) {
            addSplitRecords(key, taskStates, preconditions, mutations);
        } else {
            mutations.add(Mutation.set(key, taskStates));
        }
        mutations.add(Mutation.delete(record.key()));
        preconditions.add(new Precondition(record.key(), record.modRevision()));
    }

    /**
     * The record as several of the first form, as the leader divides one that does not fit any
     * more: all are written together, and none may be there yet.
     */
    private void addSplitRecords(
            String key, JsonNode record, List<Precondition> preconditions, List<Mutation> mutations)
            throws UnreadableRecordException {
        int slash = key.lastIndexOf('/');
        String jobId = key.substring(Keys.RUN_RECORD_PREFIX.length(), slash);
        int recordIndex = Integer.parseInt(key.substring(slash + 1));
        JobSpec spec =
                jobSpecs.apply(jobId)
                        .filter(known -> recordIndex < known.runRecordCount())
                        .orElseThrow(
                                () ->
                                        new UnreadableRecordException(
                                                "too large for the first form, and not to be divided"));
        int part = 0;
        for (List<TaskState> taskStates :
                TaskState.split(
                        TaskState.decode(record),
                        recordIndex * spec.tasksPerRunRecord(),
                        spec.tasksPerRunRecord())) {
            String partKey = spec.splitRecordKey(recordIndex, part++);
            mutations.add(Mutation.set(partKey, TaskState.encode(taskStates)));
            preconditions.add(new Precondition(partKey, 0));
            if (part > 1) {
                preconditions.add(new Precondition(VersionedKeyValueStore.compactKey(partKey), 0));
            }
        }
    }

    private void onWritten(CompareAndSwapOutcome result, int count, String last) {
        if (result instanceof CompareAndSwapOutcome.Committed) {
            scanPosition = last;
            batching = Batching.BATCH;
            return;
        }
        if (!(result instanceof CompareAndSwapOutcome.Refused refused)
                || refused.status() != BAD_REQUEST) {
            return;
        }
        if (count > 1) {
            batching = Batching.SINGLE_RECORD;
        } else if (batching != Batching.SPLIT_RECORD) {
            batching = Batching.SPLIT_RECORD;
        } else {
            LOG.warn(
                    "run record not rewritten: key={} reason=\"too large for the first form\"",
                    last);
            skipRecord(last);
        }
    }
}
