package io.pepperfield.peer;

import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.peer.PeerMessages.CachedHeartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The last answered report of each machine of this node's partition, remembered so that a new
 * leader need not wait for the next.
 */
final class HeartbeatCache {

    /** Of a report period: a report is due within this time of the one before. */
    private static final double RECENT_INTERVALS = 1.25;

    /** Below this many machines nothing is forgotten. */
    private static final int EVICTION_THRESHOLD = 64;

    private final double recentS;
    private final Map<String, Entry> entries = new HashMap<>();

    /** One machine's last report. */
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

        /** Loop time at which it was answered. */
        double answeredAt() {
            return answeredAt;
        }

        /** Whether the report says no more than the last one, which the leader has. */
        boolean isRepeatedBy(Heartbeat next) {
            return forwarded && haveSameContent(next, heartbeat);
        }

        private static boolean haveSameContent(Heartbeat next, Heartbeat before) {
            return next.incarnation() == before.incarnation()
                    && next.reclaimNoticeS() == null
                    && before.reclaimNoticeS() == null
                    && next.address().equals(before.address())
                    && next.attempts().equals(before.attempts());
        }

        private boolean isOlderThan(Heartbeat next) {
            return heartbeat == null
                    || next.incarnation() > heartbeat.incarnation()
                    || next.incarnation() == heartbeat.incarnation()
                            && next.sequence() > heartbeat.sequence();
        }
    }

    HeartbeatCache(double reportS) {
        this.recentS = RECENT_INTERVALS * reportS;
    }

    /** The machine's last report, or null. */
    Entry get(String machine) {
        return entries.get(machine);
    }

    /**
     * A time up to which all cancellations were settled on the machine by a leader's word; see
     * {@link HeartbeatForwarder#cancellationWatermark}.
     */
    double cancellationWatermark(String machine) {
        Entry last = entries.get(machine);
        return last == null ? Double.NEGATIVE_INFINITY : last.cancellationWatermark;
    }

    /** A leader has answered the report, which settles all cancellations up to that time. */
    void put(Heartbeat report, byte[] raw, double settledUpTo, double now) {
        Entry last = entries.computeIfAbsent(report.machine(), m -> new Entry());
        last.cancellationWatermark = Math.max(last.cancellationWatermark, settledUpTo);
        if (last.isOlderThan(report)) {
            last.heartbeat = report;
            last.encoded = raw;
            last.answeredAt = now;
        }
    }

    /** The leader has the report; it counts as passed on unless a newer one came meanwhile. */
    void markForwarded(Heartbeat report) {
        Entry last = entries.get(report.machine());
        last.forwarded = last.heartbeat == report;
    }

    /** Whether the leader has anything of the machine nobody knows. */
    void markNotForwarded(String machine) {
        Entry last = entries.get(machine);
        if (last != null) {
            last.forwarded = false;
        }
    }

    /** Another leader has none of these reports yet. */
    void markAllNotForwarded() {
        entries.values().forEach(last -> last.forwarded = false);
    }

    /** The machines whose next report is still to come. */
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

    /** The reports of those machines, as old as they are. */
    List<CachedHeartbeat> recentHeartbeats(double now) {
        return recentMachines(now).stream()
                .map(entries::get)
                .map(last -> new CachedHeartbeat(last.heartbeat, now - last.answeredAt))
                .toList();
    }

    /** Forgets machines of which nothing has come since then, once there are many. */
    void evictOlderThan(double time) {
        if (entries.size() > EVICTION_THRESHOLD) {
            entries.values().removeIf(last -> last.answeredAt < time);
        }
    }
}
