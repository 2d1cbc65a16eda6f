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
 * Rewrites compact run records in the version 1 format during a rollback, a few per transaction and
 * at a limited rate. The remaining records are found by scanning their keys, so that a new leader
 * can continue where its predecessor stopped. Each rewrite has a precondition on the compact
 * record's modification revision: if the leader writes the record in between, the rewrite fails and
 * the record is read again.
 */
final class RollbackRewriter {

    private static final Logger LOG = LoggerFactory.getLogger(RollbackRewriter.class);

    /** Fraction of the state service's writes per second that rewriting may use. */
    private static final double WRITE_RATE_FRACTION = 0.25;

    /** Rewriting a record takes a put and a deletion. */
    private static final int MUTATIONS_PER_RECORD = 2;

    /** Status of a transaction that the state service will not accept however often it is sent. */
    private static final int BAD_REQUEST = 400;

    /** A key that sorts directly before the keys of all compact records. */
    private static final String SCAN_START =
            Keys.V2_RUN_RECORD_PREFIX.substring(0, Keys.V2_RUN_RECORD_PREFIX.length() - 1);

    /**
     * How the next records are written; a transaction that was rejected as invalid is broken up.
     */
    private enum Batching {
        /** Several records per transaction. */
        BATCH,
        /** One record per transaction, since one of the batch may be too large. */
        SINGLE_RECORD,
        /** One record per transaction, split over several keys. */
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

    /**
     * Modification revision of the version record when the scan started. While it is unchanged, no
     * further record is converted to the compact format.
     */
    private long scanVersionRevision;

    /** Whether a record could not be rewritten since the scan started. */
    private boolean recordSkipped;

    private Batching batching = Batching.BATCH;

    /**
     * Creates a rewriter that has not started a scan.
     *
     * @param jobSpecs looks up the specification of an accepted job by its id
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
        this.secondsPerMutation = 1 / (WRITE_RATE_FRACTION * writesPerS);
    }

    /** Starts the next step if due; called periodically on the leader during a rollback. */
    void tick() {
        if (stepInFlight || loop.now() < nextStepAt) {
            return;
        }
        if (gate.precondition().modRevision() != scanVersionRevision) {
            // The version has changed since the scan started, so compact records may have been
            // written before the scan position too.
            scanVersionRevision = gate.precondition().modRevision();
            restartScan();
        }
        stepInFlight = true;
        long versionRevisionAtRead = scanVersionRevision;
        store.readPage(scanPosition, result -> onPageRead(result, versionRevisionAtRead));
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

    /** Continues the scan after a record; the rollback does not complete with a record skipped. */
    private void skipRecord(String lastKey) {
        scanPosition = lastKey;
        recordSkipped = true;
        batching = Batching.BATCH;
    }

    private void onPageRead(ReadResult result, long versionRevisionAtRead) {
        if (!(result instanceof ReadResult.Read read)
                || gate.precondition().modRevision() != versionRevisionAtRead
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
                result -> {
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
                // The record stays as it is: its content must be neither guessed nor lost.
                LOG.warn(
                        "run record not rewritten: key={} reason=\"{}\"",
                        record.key(),
                        e.getMessage());
                recordSkipped = true;
            }
        }
        String lastKey = records.get(records.size() - 1).key();
        if (mutations.isEmpty()) {
            skipRecord(lastKey);
            finishStep(1);
            return;
        }
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                preconditions,
                mutations,
                result -> {
                    onWritten(result, records.size(), lastKey);
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
     * Adds the record as several version 1 records, split in the same way as the leader splits a
     * record that exceeds the size limit. All parts are written in one transaction, with
     * preconditions that none of them exists yet.
     */
    private void addSplitRecords(
            String key, JsonNode record, List<Precondition> preconditions, List<Mutation> mutations)
            throws UnreadableRecordException {
        int slash = key.lastIndexOf('/');
        String jobId = key.substring(Keys.RUN_RECORD_PREFIX.length(), slash);
        int recordIndex = Integer.parseInt(key.substring(slash + 1));
        JobSpec spec =
                jobSpecs.apply(jobId)
                        .filter(candidate -> recordIndex < candidate.runRecordCount())
                        .orElseThrow(
                                () ->
                                        new UnreadableRecordException(
                                                "too large for the version 1 format, and cannot be split"));
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

    private void onWritten(CompareAndSwapOutcome result, int recordCount, String lastKey) {
        if (result instanceof CompareAndSwapOutcome.Committed) {
            scanPosition = lastKey;
            batching = Batching.BATCH;
            return;
        }
        if (!(result instanceof CompareAndSwapOutcome.Refused refused)
                || refused.status() != BAD_REQUEST) {
            return;
        }
        if (recordCount > 1) {
            batching = Batching.SINGLE_RECORD;
        } else if (batching != Batching.SPLIT_RECORD) {
            batching = Batching.SPLIT_RECORD;
        } else {
            LOG.warn(
                    "run record not rewritten: key={} reason=\"too large for the version 1 format\"",
                    lastKey);
            skipRecord(lastKey);
        }
    }
}
