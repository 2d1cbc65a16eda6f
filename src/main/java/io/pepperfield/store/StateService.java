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

    /** {@code grant} 0 ties the key to none. */
    record Change(String key, JsonNode data, long grant) {
        public static Change set(String key, JsonNode data) {
            return new Change(key, data, 0);
        }
    }

    record Item(String key, JsonNode data, long stamp) {}

    sealed interface TxnResult {
        record Committed(long revision) implements TxnResult {}

        record Conflict(List<String> failed) implements TxnResult {}

        /** Certainly not carried out. */
        record Refused(int status) implements TxnResult {}

        /** May have been carried out, or may be later. */
        record Unknown() implements TxnResult {}
    }

    sealed interface ReadResult {
        /** {@code items} hold a null {@code data} where a key was deleted. */
        record Read(List<Item> items, boolean more, long revision) implements ReadResult {}

        /** The changes asked for are no longer kept. */
        record TooOld() implements ReadResult {}

        record Failed() implements ReadResult {}
    }

    /**
     * {@code id} 0 where none was to be had; {@code gone} where the service says the grant has
     * ended.
     */
    record GrantResult(long id, boolean gone) {}

    void txn(Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done);

    void range(String after, Consumer<ReadResult> done);

    void follow(long since, double holdS, Consumer<ReadResult> done);

    void grant(double ttlS, Consumer<GrantResult> done);

    void touch(long id, Consumer<GrantResult> done);

    void endGrant(long id);
}
