package io.pepperfield.jobs;

import io.pepperfield.store.ReplicaSynchronizer;
import java.util.function.Consumer;

/**
 * What a user may be told about a job, the same on every controller: reads are linearizable.
 *
 * <p>Invariant: whatever any controller had told anybody (accepted, done, cancelled) before a
 * request came in here is known to the reading that answers it.
 *
 * <p>Proof. (1) What is told is durable before it is told: either the state service has confirmed
 * the transaction that wrote it, or it was read there. A transaction without an answer lets nobody
 * be told anything but to come back; carried out late, it adds what nobody had denied since, or
 * finds its key written and does nothing. (2) The keys of jobs and of final states are written once
 * and never deleted: each later revision holds them too. (3) A reading that does not end at once
 * waits for a read index request that left after the user's request came in. The service is
 * strongly consistent: its answer holds all changes up to a revision that is not older than what
 * had been told by then, and the replica and the job index have them when the job is looked up, in
 * the same command. An answer that came too late for those who waited is none. (4) A final state
 * needs no request: by (2) no other can follow it, however old this controller's knowledge is. (5)
 * A process that began anew knows nothing until it has read all keys, and then (3) holds for it;
 * until then it says only that it cannot tell.
 */
final class LinearizableReads {

    /** The result of reading a job. */
    sealed interface ReadOutcome {
        /** The job was accepted; its record as of the reading. */
        record Accepted(JobRecord job) implements ReadOutcome {}

        /** Not accepted by any controller before the request came in. */
        record NeverAccepted() implements ReadOutcome {}

        /** The state service has not answered in time. */
        record Unavailable() implements ReadOutcome {}
    }

    private final JobIndex jobIndex;
    private final ReplicaSynchronizer synchronizer;

    LinearizableReads(JobIndex jobIndex, ReplicaSynchronizer synchronizer) {
        this.jobIndex = jobIndex;
        this.synchronizer = synchronizer;
    }

    /**
     * Whether this controller has heard that the job was accepted; that it has not says nothing.
     */
    boolean isKnown(String id) {
        return jobIndex.get(id) != null;
    }

    /** Reads a job; the outcome is told at once or once the replica is known to be current. */
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

    /** Whether this controller knows the job's final state, which it may tell at any time. */
    boolean isFinal(String id) {
        return isKnown(id) && jobIndex.get(id).finalStatus() != null;
    }
}
