package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;

/** The state service as the slices see it; every callback runs on the owner. */
public interface KeyValueStore {

    /** Who goes first when the rate budget is short; the design's order. */
    enum RequestPriority {
        GRANT,
        CANCELLATION,
        LEADER_WRITE,
        SUBMISSION,
        READ
    }

    /** The key must have that stamp; 0 says that it must not exist. */
    record Precondition(String key, long modRevision) {}

    /** {@code grant} 0 ties the key to none; {@code data} null deletes the key. */
    record Mutation(String key, JsonNode value, long grant) {
        /** A change that deletes the key. */
        public static Mutation delete(String key) {
            return new Mutation(key, null, 0);
        }

        /** A change that ties the key to no grant. */
        public static Mutation set(String key, JsonNode data) {
            return new Mutation(key, data, 0);
        }
    }

    /** A key, its value and the revision that wrote it. */
    record KeyValue(String key, JsonNode value, long modRevision) {}

    /** How a transaction ended. */
    sealed interface CompareAndSwapOutcome {
        /** Carried out; all its keys have this revision as their stamp. */
        record Committed(long revision) implements CompareAndSwapOutcome {}

        /** Certainly not carried out, since these keys' guards did not hold. */
        record Conflict(List<String> failedKeys) implements CompareAndSwapOutcome {}

        /** Certainly not carried out. */
        record Refused(int status) implements CompareAndSwapOutcome {}

        /** May have been carried out, or may be later. */
        record Unknown() implements CompareAndSwapOutcome {}
    }

    /** How a reading of keys ended. */
    sealed interface ReadResult {
        /** {@code items} hold a null {@code data} where a key was deleted. */
        record Read(List<KeyValue> entries, boolean hasMore, long revision) implements ReadResult {}

        /** The changes asked for are no longer kept. */
        record RevisionTooOld() implements ReadResult {}

        /** No proper answer arrived in time. */
        record Failed() implements ReadResult {}
    }

    /**
     * {@code id} 0 where none was to be had; {@code gone} where the service says the grant has
     * ended.
     */
    record GrantResult(long id, boolean ended) {}

    /** Applies all changes at once if every guard holds. */
    void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done);

    /** Reads a page of keys behind {@code after}, in the order of their names. */
    void readPage(String after, Consumer<ReadResult> done);

    /**
     * Reads the changes since a revision; the service holds the request up to {@code holdS}
     * seconds.
     */
    void watch(long since, double holdS, Consumer<ReadResult> done);

    /** Creates a grant that ends {@code ttlS} seconds after it was last touched. */
    void createGrant(double ttlS, Consumer<GrantResult> done);

    /** Renews a grant. */
    void renewGrant(long id, Consumer<GrantResult> done);

    /** Ends a grant, and with it the keys tied to it; the outcome is not reported. */
    void revokeGrant(long id);
}
