package io.pepperfield.jobs;

import io.pepperfield.store.ReplicaSynchronizer;
import java.util.function.Consumer;

/**
 * Linearizable reads of a job's state, for replies to users of any controller.
 *
 * <p>Invariant: a read reflects every state (accepted, done, cancelled) that any controller had
 * reported to any client before the request arrived here.
 *
 * <p>Proof. (1) A state is durable before it is reported: either the state service has confirmed
 * the transaction that wrote it, or it was read from the service. After a transaction without an
 * answer, the client is only asked to retry; if the transaction is committed late, it either adds a
 * key whose existence no controller has denied since, or finds the key written and does nothing.
 * (2) The keys of jobs and of final states are written once and never deleted, so every later
 * revision contains them. (3) A read that cannot be answered from a known final state waits for a
 * read index request that was sent after the user's request arrived. The service is strongly
 * consistent: its answer contains all changes up to a revision that is not older than any state
 * reported by then, and the replica and the job index hold these changes when the job is looked up,
 * in the same command. An answer that arrives after the waiting requests have timed out counts as
 * no answer. (4) A known final state is returned without a read index request: by (2) no other
 * state can follow it, however stale the replica is. (5) A restarted process has no state until it
 * has read all keys, after which (3) applies; until then every read is unavailable.
 */
final class LinearizableReads {

    /** The outcome of reading a job. */
    sealed interface ReadOutcome {
        /** The job was accepted; contains its current record. */
        record Accepted(JobRecord job) implements ReadOutcome {}

        /** No controller had accepted the job before the request arrived. */
        record NeverAccepted() implements ReadOutcome {}

        /** The state service did not confirm in time that the replica is current. */
        record Unavailable() implements ReadOutcome {}
    }

    private final JobIndex jobIndex;
    private final ReplicaSynchronizer synchronizer;

    LinearizableReads(JobIndex jobIndex, ReplicaSynchronizer synchronizer) {
        this.jobIndex = jobIndex;
        this.synchronizer = synchronizer;
    }

    /**
     * Whether the replica contains the job. False does not prove that the job was never accepted,
     * as the replica may be stale.
     */
    boolean isKnown(String id) {
        return jobIndex.get(id) != null;
    }

    /**
     * Reads a job. Calls back at once if its final state is known, otherwise once the replica is
     * confirmed to be current or the confirmation has failed.
     */
    void read(String id, Consumer<ReadOutcome> done) {
        if (isFinal(id)) {
            done.accept(new ReadOutcome.Accepted(jobIndex.get(id)));
            return;
        }
        synchronizer.awaitReadIndex(current -> done.accept(outcome(id, current)));
    }

    private ReadOutcome outcome(String id, boolean current) {
        if (!current && !isFinal(id)) {
            return new ReadOutcome.Unavailable();
        }
        return isKnown(id)
                ? new ReadOutcome.Accepted(jobIndex.get(id))
                : new ReadOutcome.NeverAccepted();
    }

    /** Whether the replica contains the job's final state, which may be returned at any time. */
    boolean isFinal(String id) {
        return isKnown(id) && jobIndex.get(id).finalStatus() != null;
    }
}
