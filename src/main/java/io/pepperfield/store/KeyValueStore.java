package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * The state service: a consistent key-value store with compare-and-swap, watches and leases (its
 * grants). Every callback runs on the event loop's thread.
 */
public interface KeyValueStore {

    /** Which requests go first when the rates are short, in this order. */
    enum RequestPriority {
        /** Grants, and the leader key that is tied to one. */
        GRANT,
        CANCELLATION,
        LEADER_WRITE,
        SUBMISSION,
        READ
    }

    /**
     * A condition of a transaction.
     *
     * @param modRevision the modification revision that the key must have; 0 says that it must not
     *     exist
     */
    record Precondition(String key, long modRevision) {}

    /**
     * A change of one key.
     *
     * @param value the new value; null deletes the key
     * @param grant the grant with which the key ends; 0 ties it to none
     */
    record Mutation(String key, JsonNode value, long grant) {
        /** A mutation that deletes the key. */
        public static Mutation delete(String key) {
            return new Mutation(key, null, 0);
        }

        /** A mutation that ties the key to no grant. */
        public static Mutation set(String key, JsonNode value) {
            return new Mutation(key, value, 0);
        }
    }

    /**
     * A key as read.
     *
     * @param value the value; null where a change deleted the key
     * @param modRevision the store's revision that wrote it
     */
    record KeyValue(String key, JsonNode value, long modRevision) {}

    /** How a transaction ended. */
    sealed interface CompareAndSwapOutcome {
        /** Carried out; all its keys have this revision as their modification revision. */
        record Committed(long revision) implements CompareAndSwapOutcome {}

        /** Certainly not carried out, since the preconditions of these keys did not hold. */
        record Conflict(List<String> failedKeys) implements CompareAndSwapOutcome {}

        /**
         * Certainly not carried out.
         *
         * @param status the HTTP status of the answer; 0 where the request was not sent
         */
        record Refused(int status) implements CompareAndSwapOutcome {}

        /** May have been carried out, or may be later. */
        record Unknown() implements CompareAndSwapOutcome {}
    }

    /** How a reading of keys ended. */
    sealed interface ReadResult {
        /**
         * The keys, or the changes, up to a revision.
         *
         * @param hasMore whether further pages follow
         */
        record Read(List<KeyValue> entries, boolean hasMore, long revision) implements ReadResult {}

        /** The changes asked for are no longer kept. */
        record RevisionTooOld() implements ReadResult {}

        /** No proper answer arrived in time. */
        record Failed() implements ReadResult {}
    }

    /** How the creation or renewal of a grant ended. */
    sealed interface GrantOutcome {
        /**
         * Created or renewed.
         *
         * @param id the grant, never 0
         */
        record Granted(long id) implements GrantOutcome {}

        /** The service says that the grant has ended. */
        record Ended() implements GrantOutcome {}

        /** No grant was to be had, or no proper answer arrived in time. */
        record Unavailable() implements GrantOutcome {}
    }

    /** Applies all mutations at once if every precondition holds. */
    void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done);

    /**
     * Reads a page of keys in the order of their names.
     *
     * @param after the last key of the page before; empty for the first page
     */
    void readPage(String after, Consumer<ReadResult> done);

    /**
     * Reads the changes since a revision.
     *
     * @param holdS how many seconds the service holds the request while there are none
     */
    void watch(long since, double holdS, Consumer<ReadResult> done);

    /**
     * Creates a grant.
     *
     * @param ttlS seconds after its creation or last renewal at which it ends
     */
    void createGrant(double ttlS, Consumer<GrantOutcome> done);

    /** Renews a grant. */
    void renewGrant(long id, Consumer<GrantOutcome> done);

    /** Ends a grant, and with it the keys tied to it; the outcome is not reported. */
    void revokeGrant(long id);
}
