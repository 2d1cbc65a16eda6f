package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** One transaction of the leader: pending writes, gathered up to what the store takes at once. */
final class WriteTransaction {

    /** 64 KiB are allowed in all; preconditions and names need their share. */
    private static final int MAX_BYTES = 40 * 1024;

    /** What a precondition adds to the name of its key. */
    private static final int PRECONDITION_BYTES = 20;

    private final TransactionLimits limits;
    private final int maxWrites;
    private final List<PendingWrite> writes = new ArrayList<>();
    private final List<Mutation> mutations = new ArrayList<>();
    private final List<Precondition> preconditions = new ArrayList<>();
    private int bytes;

    /**
     * @param maxWrites how many pending writes it may hold
     * @param fence the precondition that proves the leadership
     */
    WriteTransaction(TransactionLimits limits, int maxWrites, Precondition fence) {
        this.limits = limits;
        this.maxWrites = maxWrites;
        preconditions.add(fence);
    }

    List<PendingWrite> writes() {
        return writes;
    }

    List<Mutation> mutations() {
        return mutations;
    }

    List<Precondition> preconditions() {
        return preconditions;
    }

    /**
     * Adds a write whole or not at all; the first one is added whatever its size.
     *
     * @param expectedRevision the modification revision that a key is expected to have
     * @return false where there is no room for it
     */
    boolean tryAdd(PendingWrite write, ToLongFunction<String> expectedRevision) {
        Map<String, JsonNode> values = write.values();
        Collection<String> requiredAbsent = write.requiredAbsent();
        int size = encodedSize(values, requiredAbsent);
        if (!writes.isEmpty() && !hasRoomFor(values.size(), requiredAbsent.size(), size)) {
            return false;
        }
        bytes += size;
        writes.add(write);
        values.forEach(
                (key, value) -> {
                    mutations.add(Mutation.set(key, value));
                    // A write-once key is expected to be absent whatever a retry has learned
                    // meanwhile.
                    long revision = write.isWriteOnce() ? 0 : expectedRevision.applyAsLong(key);
                    preconditions.add(new Precondition(key, revision));
                });
        requiredAbsent.forEach(key -> preconditions.add(new Precondition(key, 0)));
        return true;
    }

    private boolean hasRoomFor(int values, int requiredAbsent, int size) {
        return writes.size() < maxWrites
                && mutations.size() + values <= limits.maxMutations()
                && bytes + size <= MAX_BYTES
                && preconditions.size() + values + requiredAbsent <= limits.maxPreconditions();
    }

    private static int encodedSize(
            Map<String, JsonNode> values, Collection<String> requiredAbsent) {
        int size = 0;
        for (Map.Entry<String, JsonNode> value : values.entrySet()) {
            // The key is named by the mutation and by its precondition.
            size += Json.write(value.getValue()).length + 2 * value.getKey().length();
        }
        for (String key : requiredAbsent) {
            size += key.length() + PRECONDITION_BYTES;
        }
        return size;
    }
}
