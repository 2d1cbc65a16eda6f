package io.pepperfield.recovery;

import io.pepperfield.store.KeyValueStore.KeyValue;
import java.io.IOException;
import java.util.List;

/** The source of the keys of an archive; every call blocks until it has the response. */
public interface SnapshotSource {

    /** A range of the keys in ascending order, as of one revision. */
    record Page(List<KeyValue> items, boolean hasMore, long revision) {}

    /** Thrown if the state service no longer keeps the requested changes. */
    final class ChangesCompactedException extends IOException {
        private static final long serialVersionUID = 1;

        /** Creates the exception for changes since this revision. */
        public ChangesCompactedException(long since) {
            super("the changes since revision " + since + " are no longer kept");
        }
    }

    /** Reads a page of the keys after {@code after}; an empty string means from the start. */
    Page readPage(String after) throws IOException;

    /** Reads all changes since a revision, in order; deleted keys have a null value. */
    Page changesSince(long revision) throws IOException;
}
