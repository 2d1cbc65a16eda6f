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

/** One transaction of the leader: pending writes, collected up to the store's limits. */
final class WriteTransaction {

    /** The store allows 64 KiB in total; the remainder is for preconditions and names. */
    private static final int MAX_BYTES = 40 * 1024;

    /** Encoded size of a precondition, without the name of its key. */
    private static final int PRECONDITION_OVERHEAD_BYTES = 20;

    private final TransactionLimits limits;
    private final int maxWrites;
    private final List<PendingWrite> writes = new ArrayList<>();
    private final List<Mutation> mutations = new ArrayList<>();
    private final List<Precondition> preconditions = new ArrayList<>();
    private int bytes;

    /**
     * @param maxWrites maximum number of pending writes
     * @param fence the precondition that fences the transaction to the current leader
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
     * Adds a write completely or not at all; the first one is added regardless of its size.
     *
     * @param expectedRevision returns the modification revision that a key is expected to have
     * @return false if the write does not fit
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
                    // A write-once key must be absent, even if a retry has found a revision of it
                    // in the meantime.
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
            // The key occurs twice, in the mutation and in its precondition.
            size += Json.write(value.getValue()).length + 2 * value.getKey().length();
        }
        for (String key : requiredAbsent) {
            size += key.length() + PRECONDITION_OVERHEAD_BYTES;
        }
        return size;
    }
}
