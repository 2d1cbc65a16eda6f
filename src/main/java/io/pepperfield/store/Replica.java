package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * This controller's copy of the state service, as of one revision. Two streams feed it, the long
 * watch and the short read index requests; each answer holds all changes since some revision this
 * copy already had, so that applying only what is newer than the copy keeps it whole in whatever
 * order they come. Confined to the event loop's thread.
 */
public final class Replica {

    /** Told of every change in the order of revisions. */
    public interface Listener {
        /**
         * Called after the copy has taken the change.
         *
         * @param value the key's new value, or null where it was deleted
         * @param modRevision the revision of the change
         */
        void changed(String key, JsonNode value, long modRevision);
    }

    /** A key's value and the revision that wrote it. */
    public record Entry(JsonNode value, long modRevision) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final Listener listener;
    private long revision;

    /** Creates an empty copy at revision 0. */
    public Replica(Listener listener) {
        this.listener = listener;
    }

    /** The revision up to which this copy is complete. */
    public long revision() {
        return revision;
    }

    /** Whether the key exists. */
    public boolean contains(String key) {
        return entries.containsKey(key);
    }

    /** The key's entry, or empty where the key does not exist. */
    public Optional<Entry> find(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** The revision that last wrote the key; 0 where the key does not exist. */
    public long modRevision(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.modRevision;
    }

    /** Keeps only the key's revision, where its value is of no use to anybody any more. */
    public void discardValue(String key) {
        Entry entry = entries.get(key);
        if (entry != null) {
            entries.put(key, new Entry(MissingNode.getInstance(), entry.modRevision));
        }
    }

    /** Visits all keys with that prefix, in no particular order. */
    public void forEachWithPrefix(String prefix, BiConsumer<String, JsonNode> visit) {
        entries.forEach(
                (key, entry) -> {
                    if (key.startsWith(prefix)) {
                        visit.accept(key, entry.value);
                    }
                });
    }

    /**
     * Applies a full reading, which may be older than what the watch has brought meanwhile. Its
     * later pages may be newer than {@code asOf}; what is, is left to the watch since then, which
     * brings it in its order: a run record, for one, after its job.
     *
     * @param asOf the revision of the first page
     */
    public void loadSnapshot(List<KeyValueStore.KeyValue> snapshot, long asOf) {
        Map<String, Entry> missing = new HashMap<>(entries);
        for (KeyValueStore.KeyValue read : snapshot) {
            missing.remove(read.key());
            // This copy has seen what is as old as itself; where it lacks it, the key was deleted
            // since and must stay so.
            if (read.modRevision() > revision && read.modRevision() <= asOf) {
                put(read);
            }
        }
        missing.forEach(
                (key, entry) -> {
                    if (entry.modRevision <= asOf) {
                        entries.remove(key);
                        listener.changed(key, null, asOf);
                    }
                });
        revision = Math.max(revision, asOf);
    }

    /** Applies all changes up to a revision; those that are known already are skipped. */
    public void applyChanges(List<KeyValueStore.KeyValue> changes, long upTo) {
        for (KeyValueStore.KeyValue change : changes) {
            if (change.modRevision() > revision) {
                put(change);
            }
        }
        revision = Math.max(revision, upTo);
    }

    private void put(KeyValueStore.KeyValue change) {
        if (modRevision(change.key()) >= change.modRevision()) {
            return;
        }
        if (change.value() == null) {
            entries.remove(change.key());
        } else {
            entries.put(change.key(), new Entry(change.value(), change.modRevision()));
        }
        listener.changed(change.key(), change.value(), change.modRevision());
    }
}
