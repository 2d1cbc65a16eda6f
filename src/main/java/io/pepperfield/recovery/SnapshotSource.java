package io.pepperfield.recovery;

import io.pepperfield.store.KeyValueStore.KeyValue;
import java.io.IOException;
import java.util.List;

/** Where the keys for an archive are read; every call waits for its answer. */
public interface SnapshotSource {

    /** A part of the keys in their order, as of one revision. */
    record Page(List<KeyValue> items, boolean hasMore, long revision) {}

    /** The state service has not kept the changes that were asked for. */
    final class ChangesCompactedException extends IOException {
        private static final long serialVersionUID = 1;

        /** Says since when. */
        public ChangesCompactedException(long since) {
            super("the changes since revision " + since + " are no longer kept");
        }
    }

    /** The keys behind {@code after}. */
    Page readPage(String after) throws IOException;

    /** All changes since a revision, in their order; deleted keys have null data. */
    Page changesSince(long revision) throws IOException;
}
