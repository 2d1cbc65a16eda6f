package io.pepperfield.peer;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.peer.PeerMessages.CachedHeartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The last answered heartbeat of each machine in this controller's partition, kept so that a new
 * leader need not wait for the next one.
 */
final class HeartbeatCache {

    /** In heartbeat intervals: the next heartbeat is due within this time. */
    private static final double RECENT_INTERVALS = 1.25;

    /** Up to this many machines nothing is evicted. */
    private static final int EVICTION_THRESHOLD = 64;

    private final double recentS;
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

        /** Loop time in seconds at which it was answered. */
        double answeredAt() {
            return answeredAt;
        }

        /** Whether the next heartbeat says no more than this one, which the leader has. */
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
        this.recentS = RECENT_INTERVALS * heartbeatIntervalS;
    }

    /** The machine's last heartbeat, or null. */
    Entry get(String machine) {
        return entries.get(machine);
    }

    /**
     * Loop time up to which all cancellations were settled on the machine by leaders' answers; see
     * {@link HeartbeatForwarder#cancellationWatermark}.
     */
    double cancellationWatermark(String machine) {
        Entry last = entries.get(machine);
        return last == null ? Double.NEGATIVE_INFINITY : last.cancellationWatermark;
    }

    /** Keeps a heartbeat whose answer settles all cancellations up to the watermark. */
    void put(Heartbeat received, byte[] encoded, double watermark, double now) {
        Entry last = entries.computeIfAbsent(received.machine(), name -> new Entry());
        last.cancellationWatermark = Math.max(last.cancellationWatermark, watermark);
        if (last.isOlderThan(received)) {
            last.heartbeat = received;
            last.encoded = encoded;
            last.answeredAt = now;
        }
    }

    /** The leader has the heartbeat; it counts as forwarded unless a newer one came meanwhile. */
    void markForwarded(Heartbeat received) {
        Entry last = entries.get(received.machine());
        last.forwarded = last.heartbeat == received;
    }

    /** It is unknown whether the leader has any heartbeat of the machine. */
    void markNotForwarded(String machine) {
        Entry last = entries.get(machine);
        if (last != null) {
            last.forwarded = false;
        }
    }

    /** Another leader has none of these heartbeats yet. */
    void markAllNotForwarded() {
        entries.values().forEach(last -> last.forwarded = false);
    }

    /** The machines whose next heartbeat is not overdue. */
    List<String> recentMachines(double now) {
        List<String> machines = new ArrayList<>();
        entries.forEach(
                (machine, last) -> {
                    if (now - last.answeredAt < recentS) {
                        machines.add(machine);
                    }
                });
        return machines;
    }

    /** The last heartbeats of those machines, with their ages. */
    List<CachedHeartbeat> recentHeartbeats(double now) {
        return recentMachines(now).stream()
                .map(entries::get)
                .map(last -> new CachedHeartbeat(last.heartbeat, now - last.answeredAt))
                .toList();
    }

    /** Evicts machines whose last heartbeat was answered before that time, once there are many. */
    void evictOlderThan(double time) {
        if (entries.size() > EVICTION_THRESHOLD) {
            entries.values().removeIf(last -> last.answeredAt < time);
        }
    }
}
