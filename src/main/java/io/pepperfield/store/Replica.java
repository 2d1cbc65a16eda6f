package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * This controller's in-memory copy of the state service's data at one revision. It is updated from
 * two sources, the long watch and the short read index requests. Each response holds all changes
 * after a revision that the copy already had; applying only changes newer than the copy therefore
 * keeps it complete, in whatever order the responses arrive. Confined to the event loop's thread.
 */
public final class Replica {

    /** Receives every change in revision order. */
    public interface Listener {
        /**
         * Called after the change has been applied to the copy.
         *
         * @param value the key's new value, or null if it was deleted
         * @param modRevision the revision of the change
         */
        void changed(String key, JsonNode value, long modRevision);
    }

    /** A key's value and its modification revision. */
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

    /** The key's entry, or empty if the key does not exist. */
    public Optional<Entry> find(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** The key's modification revision; 0 if the key does not exist. */
    public long modRevision(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.modRevision;
    }

    /** Discards the key's value, which is no longer needed, and keeps its modification revision. */
    public void discardValue(String key) {
        Entry entry = entries.get(key);
        if (entry != null) {
            entries.put(key, new Entry(MissingNode.getInstance(), entry.modRevision));
        }
    }

    /** Visits all keys with the prefix, in no particular order. */
    public void forEachWithPrefix(String prefix, BiConsumer<String, JsonNode> visit) {
        entries.forEach(
                (key, entry) -> {
                    if (key.startsWith(prefix)) {
                        visit.accept(key, entry.value);
                    }
                });
    }

    /**
     * Applies a full read of all keys, which may be older than changes that the watch has delivered
     * in the meantime. Later pages may contain entries newer than {@code snapshotRevision}; these
     * are skipped, since a watch from that revision delivers them in revision order, for example a
     * run record after its job.
     *
     * @param snapshotRevision the revision of the first page
     */
    public void loadSnapshot(List<KeyValueStore.KeyValue> snapshot, long snapshotRevision) {
        Map<String, Entry> absentFromSnapshot = new HashMap<>(entries);
        for (KeyValueStore.KeyValue read : snapshot) {
            absentFromSnapshot.remove(read.key());
            // Entries up to the copy's revision have been applied before; if the copy lacks one,
            // its key has been deleted since then and must not be restored.
            if (read.modRevision() > revision && read.modRevision() <= snapshotRevision) {
                put(read);
            }
        }
        absentFromSnapshot.forEach(
                (key, entry) -> {
                    if (entry.modRevision <= snapshotRevision) {
                        entries.remove(key);
                        listener.changed(key, null, snapshotRevision);
                    }
                });
        revision = Math.max(revision, snapshotRevision);
    }

    /** Applies all changes up to a revision; changes already applied are skipped. */
    public void applyChanges(List<KeyValueStore.KeyValue> changes, long upToRevision) {
        for (KeyValueStore.KeyValue change : changes) {
            if (change.modRevision() > revision) {
                put(change);
            }
        }
        revision = Math.max(revision, upToRevision);
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
