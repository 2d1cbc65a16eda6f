package io.pepperfield.peer;

import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.PeerMessages.CachedHeartbeat;
import io.pepperfield.peer.PeerMessages.HeartbeatBatchReply;
import io.pepperfield.peer.PeerMessages.LeaderVerdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * A partition owner's side of its link to the leader. Reports that came together go in one message,
 * and one message is under way; the leader's answer says what each worker is to be told. What a
 * report repeats of the one before is left out.
 */
public final class HeartbeatForwarder {

    /** Workers wait so long for an answer. */
    private static final double WORKER_TIMEOUT_S = 4;

    /**
     * A report of a worker that waits for its answer; null verdicts mean that no leader answered.
     */
    private static final class PendingHeartbeat {
        final Heartbeat heartbeat;
        final byte[] encoded;
        final Consumer<LeaderVerdict> onVerdict;
        boolean sendInFull;

        PendingHeartbeat(Heartbeat report, byte[] raw, Consumer<LeaderVerdict> done) {
            this.heartbeat = report;
            this.encoded = raw;
            this.onVerdict = done;
        }
    }

    private final Loop loop;
    private final HttpSender client;
    private final Settings settings;
    private final double heartbeatIntervalS;
    private final String incarnation = UUID.randomUUID().toString();
    private final ArrayDeque<PendingHeartbeat> pending = new ArrayDeque<>();
    private final ArrayDeque<byte[]> heard = new ArrayDeque<>();
    private final ArrayDeque<String> cachedToSend = new ArrayDeque<>();
    private final HeartbeatCache cache;
    private Settings.Member leader;
    private FencingToken fencingToken = FencingToken.NONE;
    private Set<String> partitionOwners = Set.of();
    private long sequence;
    private boolean requestInFlight;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private double leaderAnsweredAt = Double.NEGATIVE_INFINITY;
    private boolean leaderReachable;

    /** Creates a forwarder that knows of no leader yet. */
    public HeartbeatForwarder(Loop loop, HttpSender client, Settings settings) {
        this.loop = loop;
        this.client = client;
        this.settings = settings;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.cache = new HeartbeatCache(heartbeatIntervalS);
    }

    /**
     * Who leads, as this node knows it; another node than before has none of this part's reports
     * yet.
     */
    public void leader(String node) {
        if (leader != null && leader.node().equals(node) || leader == null && node.isEmpty()) {
            return;
        }
        leader =
                settings.members().stream()
                        .filter(m -> m.node().equals(node))
                        .findFirst()
                        .orElse(null);
        leaderReachable = false;
        partitionOwners = Set.of();
        cachedToSend.clear();
        if (leader != null) {
            cache.markAllNotForwarded();
            cachedToSend.addAll(cache.recentMachines(loop.now()));
        }
    }

    /** Whether the leader has answered this node of late. */
    public boolean leaderReachable(double now) {
        return leaderReachable && now - leaderAnsweredAt < heartbeatIntervalS;
    }

    /** When the leader last answered, whoever it was. */
    public double leaderAnsweredAt() {
        return leaderAnsweredAt;
    }

    /**
     * Up to when all cancellations are settled on the machine, by what leaders have answered it
     * through this node.
     */
    public double cancellationWatermark(String machine) {
        return cache.cancellationWatermark(machine);
    }

    /**
     * What a leader's answer to a report settles. One with a stop settles nothing: whether it
     * arrives nobody knows, and what is to be stopped may not even have begun. One without says
     * that no attempt of a job cancelled by then may be alive there.
     *
     * @param knownUpTo up to when that leader knew all cancellations
     */
    public static double cancellationWatermark(boolean anyStop, double knownUpTo) {
        return anyStop ? Double.NEGATIVE_INFINITY : knownUpTo;
    }

    /** The highest token that a leader has shown this node. */
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The controllers that take reports, as the leader said last. */
    public Set<String> partitionOwners() {
        return partitionOwners;
    }

    /** The last reports of this node's partition, for a leader that begins: as old as they are. */
    public List<CachedHeartbeat> cachedHeartbeats(double now) {
        return cache.recentHeartbeats(now);
    }

    /**
     * A leader has answered a worker's report through this node; remembered so that a new one need
     * not wait for the next.
     *
     * @param settledUpTo up to when that leader's answer settles all cancellations there
     */
    public void cacheHeartbeat(Heartbeat report, byte[] raw, double settledUpTo) {
        cache.put(report, raw, settledUpTo, loop.now());
    }

    /**
     * Passes a worker's report on; called back with the leader's word, or with null where there is
     * none.
     */
    public void submit(Heartbeat report, byte[] raw, Consumer<LeaderVerdict> done) {
        pending.add(new PendingHeartbeat(report, raw, done));
    }

    /** A worker's answer to direct orders, for the leader. */
    public void heard(byte[] raw) {
        heard.add(raw);
    }

    /** To be called at the end of each batch of commands, and often otherwise. */
    public void flush() {
        double now = loop.now();
        if (leader == null) {
            failPending();
            heard.clear();
            return;
        }
        boolean news = !pending.isEmpty() || !heard.isEmpty() || !cachedToSend.isEmpty();
        // Spaced, so that what comes from many workers costs the leader few messages; a word now
        // and then shows that
        // this node is there.
        if (!requestInFlight
                && now - sentAt >= (news ? heartbeatIntervalS / 50 : heartbeatIntervalS / 4)) {
            send(now);
        }
    }

    private void failPending() {
        while (!pending.isEmpty()) {
            pending.poll().onVerdict.accept(null);
        }
    }

    private void send(double now) {
        requestInFlight = true;
        sentAt = now;
        HeartbeatBatchBuilder message =
                new HeartbeatBatchBuilder(settings.node(), incarnation, ++sequence, fencingToken);
        List<PendingHeartbeat> batch = addHeartbeats(message);
        while (!heard.isEmpty() && message.hasRoom()) {
            message.addDirectOrderReply(heard.poll());
        }
        addCached(message, now);
        Settings.Member to = leader;
        // Well within a worker's patience, so that it can still be answered without orders, also
        // one that waits behind these.
        client.send(
                new OutboundRequest(
                        to.address().host(),
                        to.address().port(),
                        1,
                        "POST",
                        "/peer/relay",
                        message.write(),
                        Math.round(1000 * Math.min(heartbeatIntervalS / 2, WORKER_TIMEOUT_S / 3))),
                outcome -> loop.post(() -> replyReceived(to, now, batch, outcome)));
    }

    private List<PendingHeartbeat> addHeartbeats(HeartbeatBatchBuilder message) {
        List<PendingHeartbeat> batch = new ArrayList<>();
        while (!pending.isEmpty() && message.hasRoom()) {
            PendingHeartbeat next = pending.poll();
            batch.add(next);
            HeartbeatCache.Entry last = cache.get(next.heartbeat.machine());
            if (!next.sendInFull && last != null && last.isRepeatedBy(next.heartbeat)) {
                message.addRepeated(next.heartbeat, last.heartbeat());
            } else {
                message.addFull(next.encoded);
            }
        }
        return batch;
    }

    private void addCached(HeartbeatBatchBuilder message, double now) {
        while (!cachedToSend.isEmpty() && message.hasRoom()) {
            HeartbeatCache.Entry last = cache.get(cachedToSend.poll());
            if (last != null) {
                message.addCached(last.encoded(), now - last.answeredAt());
            }
        }
    }

    private void replyReceived(
            Settings.Member from, double sent, List<PendingHeartbeat> batch, HttpOutcome outcome) {
        requestInFlight = false;
        HeartbeatBatchReply answer = parseReply(outcome, batch.size());
        if (answer == null || from != leader) {
            batch.forEach(this::fail);
            return;
        }
        fencingToken = FencingToken.newest(fencingToken, answer.fencingToken());
        partitionOwners = answer.partitionOwners();
        leaderReachable = true;
        leaderAnsweredAt = Math.max(leaderAnsweredAt, sent);
        double knownUpTo = sent - answer.stateContactAgeS();
        for (int i = 0; i < batch.size(); i++) {
            applyVerdict(batch.get(i), answer.verdicts().get(i), knownUpTo);
        }
        cache.evictOlderThan(
                loop.now() - settings.deployment().workerTimings().cancellationDeadlineS());
    }

    private static HeartbeatBatchReply parseReply(HttpOutcome outcome, int reports) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            return PeerMessages.readBatchReply(answered.json(), reports);
        }
        return null;
    }

    private void fail(PendingHeartbeat report) {
        cache.markNotForwarded(report.heartbeat.machine());
        report.onVerdict.accept(null);
    }

    private void applyVerdict(PendingHeartbeat report, LeaderVerdict verdict, double knownUpTo) {
        if (verdict instanceof LeaderVerdict.FullHeartbeatRequired && !report.sendInFull) {
            report.sendInFull = true;
            pending.add(report);
            return;
        }
        if (verdict instanceof LeaderVerdict.Orders orders) {
            double settledUpTo =
                    cancellationWatermark(Order.containsStop(orders.orders()), knownUpTo);
            cacheHeartbeat(report.heartbeat, report.encoded, settledUpTo);
            cache.markForwarded(report.heartbeat);
        }
        report.onVerdict.accept(verdict);
    }
}
