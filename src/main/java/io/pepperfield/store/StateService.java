package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;

/** The state service as the slices see it; every callback runs on the owner. */
public interface StateService {

    /** Who goes first when the rate budget is short; the design's order. */
    enum Urgency {
        GRANT,
        END,
        RUN,
        JOB,
        READ
    }

    /** The key must have that stamp; 0 says that it must not exist. */
    record Guard(String key, long stamp) {}

    /** {@code grant} 0 ties the key to none; {@code data} null deletes the key. */
    record Change(String key, JsonNode data, long grant) {
        /** A change that deletes the key. */
        public static Change delete(String key) {
            return new Change(key, null, 0);
        }

        /** A change that ties the key to no grant. */
        public static Change set(String key, JsonNode data) {
            return new Change(key, data, 0);
        }
    }

    /** A key, its value and the revision that wrote it. */
    record Item(String key, JsonNode data, long stamp) {}

    /** How a transaction ended. */
    sealed interface TxnResult {
        /** Carried out; all its keys have this revision as their stamp. */
        record Committed(long revision) implements TxnResult {}

        /** Certainly not carried out, since these keys' guards did not hold. */
        record Conflict(List<String> failed) implements TxnResult {}

        /** Certainly not carried out. */
        record Refused(int status) implements TxnResult {}

        /** May have been carried out, or may be later. */
        record Unknown() implements TxnResult {}
    }

    /** How a reading of keys ended. */
    sealed interface ReadResult {
        /** {@code items} hold a null {@code data} where a key was deleted. */
        record Read(List<Item> items, boolean more, long revision) implements ReadResult {}

        /** The changes asked for are no longer kept. */
        record TooOld() implements ReadResult {}

        /** No proper answer arrived in time. */
        record Failed() implements ReadResult {}
    }

    /**
     * {@code id} 0 where none was to be had; {@code gone} where the service says the grant has
     * ended.
     */
    record GrantResult(long id, boolean gone) {}

    /** Applies all changes at once if every guard holds. */
    void txn(Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done);

    /** Reads a page of keys behind {@code after}, in the order of their names. */
    void range(String after, Consumer<ReadResult> done);

    /**
     * Reads the changes since a revision; the service holds the request up to {@code holdS}
     * seconds.
     */
    void follow(long since, double holdS, Consumer<ReadResult> done);

    /** Creates a grant that ends {@code ttlS} seconds after it was last touched. */
    void grant(double ttlS, Consumer<GrantResult> done);

    /** Renews a grant. */
    void touch(long id, Consumer<GrantResult> done);

    /** Ends a grant, and with it the keys tied to it; the outcome is not reported. */
    void endGrant(long id);
}
