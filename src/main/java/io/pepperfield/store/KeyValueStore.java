package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * The state service: a consistent key-value store with compare-and-swap, watches and leases (its
 * grants). Every callback runs on the event loop's thread.
 */
public interface KeyValueStore {

    /** The priority of a request when the rates are limited, highest first. */
    enum RequestPriority {
        /** Grant requests, and writes of the leader key, which is attached to a grant. */
        GRANT,
        CANCELLATION,
        LEADER_WRITE,
        SUBMISSION,
        READ
    }

    /**
     * A condition of a transaction.
     *
     * @param modRevision the modification revision that the key must have; 0 if it must not exist
     */
    record Precondition(String key, long modRevision) {}

    /**
     * A change of one key.
     *
     * @param value the new value; null deletes the key
     * @param grant the grant whose end deletes the key; 0 for none
     */
    record Mutation(String key, JsonNode value, long grant) {
        /** A mutation that deletes the key. */
        public static Mutation delete(String key) {
            return new Mutation(key, null, 0);
        }

        /** A mutation that sets the key without a grant. */
        public static Mutation set(String key, JsonNode value) {
            return new Mutation(key, value, 0);
        }
    }

    /**
     * An entry or a change, as read from the store.
     *
     * @param value the value; null if the change deleted the key
     * @param modRevision the store revision of the key's last modification
     */
    record KeyValue(String key, JsonNode value, long modRevision) {}

    /** The outcome of a transaction. */
    sealed interface CompareAndSwapOutcome {
        /** Applied; this is the new modification revision of all its keys. */
        record Committed(long revision) implements CompareAndSwapOutcome {}

        /** Not applied, because the preconditions on these keys did not hold. */
        record Conflict(List<String> failedKeys) implements CompareAndSwapOutcome {}

        /**
         * Not applied.
         *
         * @param status the HTTP status of the response; 0 if the request was not sent
         */
        record Refused(int status) implements CompareAndSwapOutcome {}

        /** May have been applied, or may still be applied later. */
        record Unknown() implements CompareAndSwapOutcome {}
    }

    /** The outcome of a read or watch. */
    sealed interface ReadResult {
        /**
         * The entries, or the changes, up to a revision.
         *
         * @param hasMore whether further pages follow
         */
        record Read(List<KeyValue> entries, boolean hasMore, long revision) implements ReadResult {}

        /** The store no longer retains the requested changes. */
        record RevisionTooOld() implements ReadResult {}

        /** No valid response arrived in time. */
        record Failed() implements ReadResult {}
    }

    /** The outcome of creating or renewing a grant. */
    sealed interface GrantOutcome {
        /**
         * Created or renewed.
         *
         * @param id the grant, never 0
         */
        record Granted(long id) implements GrantOutcome {}

        /** The service reports that the grant has ended. */
        record Ended() implements GrantOutcome {}

        /** No grant was available, or no valid response arrived in time. */
        record Unavailable() implements GrantOutcome {}
    }

    /** Applies all mutations atomically if every precondition holds. */
    void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done);

    /**
     * Reads a page of entries in key order.
     *
     * @param after the last key of the previous page; empty for the first page
     */
    void readPage(String after, Consumer<ReadResult> done);

    /**
     * Reads the changes after a revision.
     *
     * @param holdS seconds for which the service holds the request open while there are no changes
     */
    void watch(long since, double holdS, Consumer<ReadResult> done);

    /**
     * Creates a grant.
     *
     * @param ttlS seconds after its creation or last renewal at which the grant ends
     */
    void createGrant(double ttlS, Consumer<GrantOutcome> done);

    /** Renews a grant. */
    void renewGrant(long id, Consumer<GrantOutcome> done);

    /** Revokes a grant, which deletes the keys attached to it; the outcome is not reported. */
    void revokeGrant(long id);
}
