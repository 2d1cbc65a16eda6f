package io.pepperfield.peer;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.peer.PeerMessages.CachedHeartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches the last answered heartbeat of each machine in this controller's partition, so that a new
 * leader does not have to wait for the next one.
 */
final class HeartbeatCache {

    /** Age in heartbeat intervals up to which the machine's next heartbeat is not yet overdue. */
    private static final double RECENT_INTERVALS = 1.25;

    /** Number of cached machines up to which no entry is evicted. */
    private static final int EVICTION_THRESHOLD = 64;

    private final double recencyWindowS;
    private final Map<String, Entry> entries = new HashMap<>();

    /** One machine's last heartbeat. */
    static final class Entry {
        private Heartbeat heartbeat;
        private byte[] encoded;
        private double answeredAt;
        private double cancellationWatermark = Double.NEGATIVE_INFINITY;
        private boolean forwarded;

        Heartbeat heartbeat() {
            return heartbeat;
        }

        byte[] encoded() {
            return encoded;
        }

        /** Loop time in seconds at which the heartbeat was answered. */
        double answeredAt() {
            return answeredAt;
        }

        /**
         * Whether the leader has this heartbeat and the next one differs from it only in sequence
         * number and fencing token.
         */
        boolean isRepeatedBy(Heartbeat next) {
            return forwarded && haveSameContent(next, heartbeat);
        }

        private static boolean haveSameContent(Heartbeat next, Heartbeat earlier) {
            return next.incarnation() == earlier.incarnation()
                    && next.reclaimNoticeS() == null
                    && earlier.reclaimNoticeS() == null
                    && next.address().equals(earlier.address())
                    && next.attempts().equals(earlier.attempts());
        }

        private boolean isOlderThan(Heartbeat next) {
            return heartbeat == null
                    || next.incarnation() > heartbeat.incarnation()
                    || next.incarnation() == heartbeat.incarnation()
                            && next.sequence() > heartbeat.sequence();
        }
    }

    HeartbeatCache(double heartbeatIntervalS) {
        this.recencyWindowS = RECENT_INTERVALS * heartbeatIntervalS;
    }

    /** Returns the machine's last heartbeat, or null if none is cached. */
    Entry get(String machine) {
        return entries.get(machine);
    }

    /**
     * Loop time up to which leaders' answers have settled all cancellations on the machine; see
     * {@link HeartbeatForwarder#cancellationWatermark}.
     */
    double cancellationWatermark(String machine) {
        Entry entry = entries.get(machine);
        return entry == null ? Double.NEGATIVE_INFINITY : entry.cancellationWatermark;
    }

    /**
     * Caches a heartbeat whose answer settles all cancellations up to the watermark; an older
     * heartbeat than the cached one only advances the watermark.
     */
    void put(Heartbeat heartbeat, byte[] encoded, double watermark, double now) {
        Entry entry = entries.computeIfAbsent(heartbeat.machine(), name -> new Entry());
        entry.cancellationWatermark = Math.max(entry.cancellationWatermark, watermark);
        if (entry.isOlderThan(heartbeat)) {
            entry.heartbeat = heartbeat;
            entry.encoded = encoded;
            entry.answeredAt = now;
        }
    }

    /**
     * Marks the machine's entry as forwarded if this heartbeat, which the leader has accepted, is
     * still the cached one.
     */
    void markForwarded(Heartbeat heartbeat) {
        Entry entry = entries.get(heartbeat.machine());
        entry.forwarded = entry.heartbeat == heartbeat;
    }

    /** Marks the machine's entry as not forwarded: whether the leader has it is unknown. */
    void markNotForwarded(String machine) {
        Entry entry = entries.get(machine);
        if (entry != null) {
            entry.forwarded = false;
        }
    }

    /** Marks all entries as not forwarded; called when the leader has changed. */
    void markAllNotForwarded() {
        entries.values().forEach(entry -> entry.forwarded = false);
    }

    /** Returns the machines whose next heartbeat is not overdue. */
    List<String> recentMachines(double now) {
        List<String> machines = new ArrayList<>();
        entries.forEach(
                (machine, entry) -> {
                    if (now - entry.answeredAt < recencyWindowS) {
                        machines.add(machine);
                    }
                });
        return machines;
    }

    /** Returns the last heartbeats of the recent machines, with their ages. */
    List<CachedHeartbeat> recentHeartbeats(double now) {
        return recentMachines(now).stream()
                .map(entries::get)
                .map(entry -> new CachedHeartbeat(entry.heartbeat, now - entry.answeredAt))
                .toList();
    }

    /**
     * Evicts entries answered before the given loop time, if the cache exceeds its eviction
     * threshold.
     */
    void evictOlderThan(double time) {
        if (entries.size() > EVICTION_THRESHOLD) {
            entries.values().removeIf(entry -> entry.answeredAt < time);
        }
    }
}
