package io.pepperfield.admission;

import it.unimi.dsi.fastutil.HashCommon;
import it.unimi.dsi.fastutil.longs.Long2DoubleOpenHashMap;

/**
 * Jobs that have been refused of late, each with the time at which it was told to come back: so
 * that a job counts once as demand however often it is retried, and that who comes back when told
 * goes before who comes for the first time. Kept as fingerprints in two generations; a job that was
 * not seen for two of them is forgotten. Bounded: a flood of distinct ids beyond it is not
 * remembered, and counts again with each retry, which earns its class nothing beyond its share.
 */
final class RefusedSubmissions {

    /** What is kept of a job. */
    enum Generation {
        NONE,
        CURRENT,
        PREVIOUS
    }

    private static final double NO_RETRY_TIME = Double.NaN;

    private final int maxPerGeneration;
    private Long2DoubleOpenHashMap current = newGeneration();
    private Long2DoubleOpenHashMap previous = newGeneration();

    RefusedSubmissions(int maxPerGeneration) {
        this.maxPerGeneration = maxPerGeneration;
    }

    private static Long2DoubleOpenHashMap newGeneration() {
        Long2DoubleOpenHashMap map = new Long2DoubleOpenHashMap();
        map.defaultReturnValue(NO_RETRY_TIME);
        return map;
    }

    /** A number that two jobs hardly ever share. */
    static long fingerprint(String job) {
        long hash = 0;
        for (int i = 0; i < job.length(); i++) {
            hash = hash * 1_000_003 + job.charAt(i);
        }
        return HashCommon.mix(hash);
    }

    Generation generationOf(long fingerprint) {
        if (current.containsKey(fingerprint)) {
            return Generation.CURRENT;
        }
        return previous.containsKey(fingerprint) ? Generation.PREVIOUS : Generation.NONE;
    }

    /** When it was told to come back, or not a number. */
    double retryDueAt(long fingerprint) {
        double due = current.get(fingerprint);
        return Double.isNaN(due) ? previous.get(fingerprint) : due;
    }

    /** Keeps the time; false where there is no room for one more. */
    boolean tryRecord(long fingerprint, double dueAt) {
        if (current.size() >= maxPerGeneration && !current.containsKey(fingerprint)) {
            return false;
        }
        previous.remove(fingerprint);
        current.put(fingerprint, dueAt);
        return true;
    }

    void remove(long fingerprint) {
        current.remove(fingerprint);
        previous.remove(fingerprint);
    }

    /** Begins another generation; what was not seen since the last but one is forgotten. */
    void rotate() {
        previous = current;
        current = newGeneration();
    }

    int size() {
        return current.size() + previous.size();
    }
}
