package io.pepperfield.admission;

import it.unimi.dsi.fastutil.HashCommon;
import it.unimi.dsi.fastutil.longs.Long2DoubleOpenHashMap;

/**
 * Recently refused jobs with their retry times. With them a job counts once as demand however often
 * it is retried, and a retry that is due is admitted before first submissions. Jobs are stored as
 * fingerprints in two generations; a job that is not refused again in two generations is evicted.
 * The size is bounded: further ids of a flood are not recorded and count as demand again with each
 * retry, which does not give their class more than its share.
 */
final class RefusedSubmissions {

    /** The generation in which a job was last refused; {@code NONE} if it is not recorded. */
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

    /** Returns a 64-bit hash of a job id; collisions are rare. */
    static long fingerprint(String jobId) {
        long hash = 0;
        for (int i = 0; i < jobId.length(); i++) {
            hash = hash * 1_000_003 + jobId.charAt(i);
        }
        return HashCommon.mix(hash);
    }

    Generation generationOf(long fingerprint) {
        if (current.containsKey(fingerprint)) {
            return Generation.CURRENT;
        }
        return previous.containsKey(fingerprint) ? Generation.PREVIOUS : Generation.NONE;
    }

    /** Returns the retry time of a job, or NaN if the job is not recorded. */
    double retryDueAt(long fingerprint) {
        double retryAt = current.get(fingerprint);
        return Double.isNaN(retryAt) ? previous.get(fingerprint) : retryAt;
    }

    /** Records the retry time of a refused job; returns false if the generation is full. */
    boolean tryRecord(long fingerprint, double retryAt) {
        if (current.size() >= maxPerGeneration && !current.containsKey(fingerprint)) {
            return false;
        }
        previous.remove(fingerprint);
        current.put(fingerprint, retryAt);
        return true;
    }

    void remove(long fingerprint) {
        current.remove(fingerprint);
        previous.remove(fingerprint);
    }

    /** Starts a new generation and evicts the previous one. */
    void rotate() {
        previous = current;
        current = newGeneration();
    }

    int size() {
        return current.size() + previous.size();
    }
}
