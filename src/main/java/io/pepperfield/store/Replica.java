package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * This node's copy of the state service, as of one revision. Two streams feed it, the long follow
 * and the short confirmations; each answer holds all changes since some revision this copy already
 * had, so that taking only what is newer than the copy keeps it whole in whatever order they come.
 */
public final class Replica {

    /**
     * Told of every change in the order of revisions; {@code data} is null where the key is gone.
     */
    public interface Listener {
        /** Called after the copy has taken the change. */
        void changed(String key, JsonNode data, long stamp);
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

    /** The key's entry, or null where there is none. */
    public Entry get(String key) {
        return entries.get(key);
    }

    /** The revision that last wrote the key; 0 where there is none. */
    public long modRevision(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.modRevision;
    }

    /** Keeps only the key's stamp, where what it holds is of no use to anybody any more. */
    public void compact(String key) {
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
     * Takes a full reading, which may be older than what the follow has brought meanwhile. Its
     * later pages may be newer than {@code asOf}; what is, is left to the follow since then, which
     * brings it in its order: a run record, for one, after its job.
     */
    public void loadSnapshot(List<KeyValueStore.KeyValue> all, long asOf) {
        Map<String, Entry> missing = new HashMap<>(entries);
        for (KeyValueStore.KeyValue item : all) {
            missing.remove(item.key());
            // What is as old as this copy it has seen; where it lacks it, the key was deleted since
            // and must stay so.
            if (item.modRevision() > revision && item.modRevision() <= asOf) {
                put(item);
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

    /** Takes all changes up to revision {@code to}; those that are known already are skipped. */
    public void applyChanges(List<KeyValueStore.KeyValue> changes, long to) {
        for (KeyValueStore.KeyValue item : changes) {
            if (item.modRevision() > revision) {
                put(item);
            }
        }
        revision = Math.max(revision, to);
    }

    private void put(KeyValueStore.KeyValue item) {
        Entry known = entries.get(item.key());
        if (known != null && known.modRevision >= item.modRevision()) {
            return;
        }
        if (item.value() == null) {
            entries.remove(item.key());
        } else {
            entries.put(item.key(), new Entry(item.value(), item.modRevision()));
        }
        listener.changed(item.key(), item.value(), item.modRevision());
    }
}
