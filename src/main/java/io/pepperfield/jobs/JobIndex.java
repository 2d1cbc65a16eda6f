package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.Keys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An index of all jobs ever accepted, derived from the replica. Every controller answers user
 * requests from it. Updated with the replica's changes on the event loop's thread, to which it is
 * confined.
 */
public final class JobIndex {

    private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

    private final Map<String, JobRecord> records = new HashMap<>();
    private final Map<String, FinalState> finalStatesBeforeJobs = new HashMap<>();
    private final DependencyGraph dependencies = new DependencyGraph(records);
    private final CancelledAttempts cancelledAttempts = new CancelledAttempts();
    private final SharedRecordIndex sharedRecords = new SharedRecordIndex();
    private final DoubleSupplier replicaConfirmedAt;

    /** A single instance, shared by all records. */
    private final Predicate<String> isDone = dependencies::isDone;

    /**
     * @param replicaConfirmedAt supplies a loop time in seconds up to which the replica holds all
     *     changes
     */
    public JobIndex(DoubleSupplier replicaConfirmedAt) {
        this.replicaConfirmedAt = replicaConfirmedAt;
    }

    /** The record of an accepted job, or null. */
    public JobRecord get(String id) {
        return records.get(id);
    }

    /** The records of all accepted jobs. */
    public Collection<JobRecord> all() {
        return records.values();
    }

    /** The ids of the jobs in each shared run record, by the record's key. */
    public Map<String, List<String>> jobsBySharedRecord() {
        return sharedRecords.jobsByRecord();
    }

    /**
     * Returns a loop time in seconds at which no cancelled job with a possibly live attempt on the
     * machine had been cancelled yet; infinity if there is no such job.
     *
     * @param excluded selects attempts to leave out
     */
    public double noCancellationsBefore(String machine, Predicate<CancelledAttempt> excluded) {
        return cancelledAttempts.noCancellationsBefore(machine, excluded);
    }

    /** Returns the ids of the jobs affected by the end of another job since the last call. */
    public List<String> drainAffectedJobs() {
        return dependencies.drainAffected();
    }

    /**
     * Applies a change of the replica. Keys of other packages are ignored. Deletions are ignored
     * too, as accepted jobs and final states are never deleted.
     *
     * @param value the key's new value, or null if it was deleted
     */
    public void applyChange(String key, JsonNode value) {
        if (value == null) {
            return;
        }
        if (key.startsWith(Keys.JOB_PREFIX)) {
            addJob(key.substring(Keys.JOB_PREFIX.length()), value);
        } else if (key.startsWith(Keys.FINAL_STATE_PREFIX)) {
            addFinalState(
                    key.substring(Keys.FINAL_STATE_PREFIX.length()), FinalState.decode(value));
        } else if (key.startsWith(Keys.SHARED_RUN_RECORD_PREFIX)) {
            applySharedRecord(key, value);
        } else if (key.startsWith(Keys.RUN_RECORD_PREFIX)) {
            int slash = key.lastIndexOf('/');
            applyTaskStates(
                    key.substring(Keys.RUN_RECORD_PREFIX.length(), slash),
                    Integer.parseInt(key.substring(slash + 1)),
                    value);
        }
    }

    private void addJob(String keyId, JsonNode value) {
        String id = dependencies.takeInternedId(keyId);
        JobSpec spec =
                JobCodec.decodeSpec(id, value).withInternedDependencyIds(dependencies::internId);
        JobRecord record = new JobRecord(spec, isDone);
        if (records.putIfAbsent(id, record) != null) {
            return;
        }
        if (dependencies.add(record)) {
            applyFinalState(record, FinalState.CANCELLED_WITH_DEPENDENCY);
        }
        FinalState earlier = finalStatesBeforeJobs.remove(id);
        if (earlier != null && !record.hasEnded()) {
            applyFinalState(record, earlier);
        }
    }

    private void addFinalState(String id, FinalState state) {
        JobRecord record = records.get(id);
        if (record == null) {
            // A paged read returns the keys in order, final states before jobs.
            finalStatesBeforeJobs.put(id, state);
        } else if (!record.hasEnded()) {
            applyFinalState(record, state);
        } else if (record.finalStatus() != state.status()) {
            LOG.error(
                    "stored final state contradicts the known one: job={} known={} stored={}",
                    id,
                    record.finalStatus(),
                    state.status());
        }
    }

    /**
     * Applies a job's final state to the job and, if it is a cancellation, to its direct and
     * transitive dependents. Nothing is written for the dependents: final states are written once,
     * and a job that still waits for a dependency cannot be done, so every controller derives the
     * same cancellations from the one final state. Iterative, because dependency chains may be
     * long.
     */
    private void applyFinalState(JobRecord first, FinalState state) {
        first.setFinalState(state);
        ArrayDeque<JobRecord> ended = new ArrayDeque<>(List.of(first));
        while (!ended.isEmpty()) {
            JobRecord record = ended.poll();
            record.onEnded(replicaConfirmedAt.getAsDouble());
            cancelledAttempts.update(record);
            ended.addAll(dependencies.remove(record));
        }
    }

    /**
     * Replaces the contents of a shared run record. A job that is no longer in any shared record
     * has ended without live attempts; its old task states are removed so that the next leader does
     * not restore them as live attempts.
     */
    private void applySharedRecord(String key, JsonNode value) {
        List<String> jobs = new ArrayList<>();
        value.fieldNames().forEachRemaining(jobs::add);
        sharedRecords.replace(key, jobs).forEach(this::removeSharedTaskStates);
        jobs.forEach(id -> applyTaskStates(id, 0, value.get(id)));
    }

    private void removeSharedTaskStates(String id) {
        JobRecord record = records.get(id);
        if (record != null && record.finalStatus() != Status.DONE) {
            record.removeFragment(0);
            cancelledAttempts.update(record);
        }
    }

    private void applyTaskStates(String id, int fragment, JsonNode value) {
        JobRecord record = records.get(id);
        if (record == null) {
            return;
        }
        if (!value.isArray()) {
            record.markUnreadable();
        } else if (record.finalStatus() != Status.DONE) {
            record.putFragment(fragment, RunRecordFragment.of(value));
            cancelledAttempts.update(record);
        }
    }
}
