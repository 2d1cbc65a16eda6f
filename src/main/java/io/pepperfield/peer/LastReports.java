package io.pepperfield.peer;

import io.pepperfield.fleet.Report;
import io.pepperfield.peer.ForwardingMessages.Kept;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The last answered report of each machine of this node's partition, remembered so that a new
 * leader need not wait for the next.
 */
final class LastReports {

    /** Of a report period: a report is due within this time of the one before. */
    private static final double RECENT = 1.25;

    /** Below this many machines nothing is forgotten. */
    private static final int FEW = 64;

    private final double recentS;
    private final Map<String, Entry> entries = new HashMap<>();

    /** One machine's last report. */
    static final class Entry {
        private Report report;
        private byte[] raw;
        private double at;
        private double settledUpTo = Double.NEGATIVE_INFINITY;
        private boolean passedOn;

        Report report() {
            return report;
        }

        byte[] raw() {
            return raw;
        }

        /** Loop time at which it was answered. */
        double at() {
            return at;
        }

        /** Whether the report says no more than the last one, which the leader has. */
        boolean leaderKnows(Report next) {
            return passedOn && repeats(next, report);
        }

        private static boolean repeats(Report next, Report before) {
            return next.tenure() == before.tenure()
                    && next.noticeS() == null
                    && before.noticeS() == null
                    && next.address().equals(before.address())
                    && next.lines().equals(before.lines());
        }

        private boolean olderThan(Report next) {
            return report == null
                    || next.tenure() > report.tenure()
                    || next.tenure() == report.tenure() && next.serial() > report.serial();
        }
    }

    LastReports(double reportS) {
        this.recentS = RECENT * reportS;
    }

    /** The machine's last report, or null. */
    Entry get(String machine) {
        return entries.get(machine);
    }

    /**
     * A time up to which all cancellations were settled on the machine by a leader's word; see
     * {@link ReportForwarder#settledUpTo}.
     */
    double settledUpTo(String machine) {
        Entry last = entries.get(machine);
        return last == null ? Double.NEGATIVE_INFINITY : last.settledUpTo;
    }

    /** A leader has answered the report, which settles all cancellations up to that time. */
    void remember(Report report, byte[] raw, double settledUpTo, double now) {
        Entry last = entries.computeIfAbsent(report.machine(), m -> new Entry());
        last.settledUpTo = Math.max(last.settledUpTo, settledUpTo);
        if (last.olderThan(report)) {
            last.report = report;
            last.raw = raw;
            last.at = now;
        }
    }

    /** The leader has the report; it counts as passed on unless a newer one came meanwhile. */
    void passedOn(Report report) {
        Entry last = entries.get(report.machine());
        last.passedOn = last.report == report;
    }

    /** Whether the leader has anything of the machine nobody knows. */
    void notPassedOn(String machine) {
        Entry last = entries.get(machine);
        if (last != null) {
            last.passedOn = false;
        }
    }

    /** Another leader has none of these reports yet. */
    void leaderChanged() {
        entries.values().forEach(last -> last.passedOn = false);
    }

    /** The machines whose next report is still to come. */
    List<String> recentMachines(double now) {
        List<String> machines = new ArrayList<>();
        entries.forEach(
                (machine, last) -> {
                    if (now - last.at < recentS) {
                        machines.add(machine);
                    }
                });
        return machines;
    }

    /** The reports of those machines, as old as they are. */
    List<Kept> recent(double now) {
        return recentMachines(now).stream()
                .map(entries::get)
                .map(last -> new Kept(last.report, now - last.at))
                .toList();
    }

    /** Forgets machines of which nothing has come since then, once there are many. */
    void forgetBefore(double time) {
        if (entries.size() > FEW) {
            entries.values().removeIf(last -> last.at < time);
        }
    }
}
