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
    public record Entry(JsonNode data, long stamp) {}

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
    public long stamp(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.stamp;
    }

    /** Keeps only the key's stamp, where what it holds is of no use to anybody any more. */
    public void lighten(String key) {
        Entry entry = entries.get(key);
        if (entry != null) {
            entries.put(key, new Entry(MissingNode.getInstance(), entry.stamp));
        }
    }

    /** Visits all keys with that prefix, in no particular order. */
    public void each(String prefix, BiConsumer<String, JsonNode> visit) {
        entries.forEach(
                (key, entry) -> {
                    if (key.startsWith(prefix)) {
                        visit.accept(key, entry.data);
                    }
                });
    }

    /**
     * Takes a full reading, which may be older than what the follow has brought meanwhile. Its
     * later pages may be newer than {@code asOf}; what is, is left to the follow since then, which
     * brings it in its order: a run record, for one, after its job.
     */
    public void reset(List<StateService.Item> all, long asOf) {
        Map<String, Entry> missing = new HashMap<>(entries);
        for (StateService.Item item : all) {
            missing.remove(item.key());
            // What is as old as this copy it has seen; where it lacks it, the key was deleted since
            // and must stay so.
            if (item.stamp() > revision && item.stamp() <= asOf) {
                put(item);
            }
        }
        missing.forEach(
                (key, entry) -> {
                    if (entry.stamp <= asOf) {
                        entries.remove(key);
                        listener.changed(key, null, asOf);
                    }
                });
        revision = Math.max(revision, asOf);
    }

    /** Takes all changes up to revision {@code to}; those that are known already are skipped. */
    public void advance(List<StateService.Item> changes, long to) {
        for (StateService.Item item : changes) {
            if (item.stamp() > revision) {
                put(item);
            }
        }
        revision = Math.max(revision, to);
    }

    private void put(StateService.Item item) {
        Entry known = entries.get(item.key());
        if (known != null && known.stamp >= item.stamp()) {
            return;
        }
        if (item.data() == null) {
            entries.remove(item.key());
        } else {
            entries.put(item.key(), new Entry(item.data(), item.stamp()));
        }
        listener.changed(item.key(), item.data(), item.stamp());
    }
}
