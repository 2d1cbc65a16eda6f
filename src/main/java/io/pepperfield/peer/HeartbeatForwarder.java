package io.pepperfield.peer;

import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.WorkerProtocol;
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
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Forwards the heartbeats of a partition owner's machines to the leader. Heartbeats are batched,
 * with one request in flight at a time; the leader's reply holds a verdict on each heartbeat. A
 * heartbeat that repeats the content of the one before is sent in a short form. Confined to the
 * event loop.
 */
public final class HeartbeatForwarder {

    /** Time in seconds after which a worker stops waiting for the answer to a heartbeat. */
    private static final double WORKER_TIMEOUT_S = 4;

    /** A worker's heartbeat without a verdict so far. */
    private static final class PendingHeartbeat {
        final Heartbeat heartbeat;
        final byte[] encoded;
        final Consumer<LeaderVerdict> onVerdict;
        boolean sendInFull;

        PendingHeartbeat(Heartbeat heartbeat, byte[] encoded, Consumer<LeaderVerdict> onVerdict) {
            this.heartbeat = heartbeat;
            this.encoded = encoded;
            this.onVerdict = onVerdict;
        }
    }

    private final Loop loop;
    private final HttpSender client;
    private final Settings settings;
    private final double heartbeatIntervalS;
    private final String incarnation = UUID.randomUUID().toString();
    private final ArrayDeque<PendingHeartbeat> pending = new ArrayDeque<>();
    private final ArrayDeque<byte[]> pendingDirectOrderReplies = new ArrayDeque<>();
    private final ArrayDeque<String> machinesToResend = new ArrayDeque<>();
    private final HeartbeatCache cache;

    /** Null if no leader is known, and while this controller itself leads. */
    private Settings.Member leader;

    private FencingToken fencingToken = FencingToken.NONE;
    private Set<String> partitionOwners = Set.of();
    private long sequence;
    private boolean requestInFlight;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private double leaderAnsweredAt = Double.NEGATIVE_INFINITY;
    private boolean leaderReachable;

    /** Creates a forwarder without a known leader. */
    public HeartbeatForwarder(Loop loop, HttpSender client, Settings settings) {
        this.loop = loop;
        this.client = client;
        this.settings = settings;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.cache = new HeartbeatCache(heartbeatIntervalS);
    }

    /**
     * Sets the leader known to this controller; empty if there is none. A new leader is sent all
     * recent heartbeats of this partition again, since it has none of them.
     */
    public void setLeader(String controller) {
        if (leader != null && leader.node().equals(controller)
                || leader == null && controller.isEmpty()) {
            return;
        }
        leader =
                settings.members().stream()
                        .filter(member -> member.node().equals(controller))
                        .findFirst()
                        .orElse(null);
        leaderReachable = false;
        partitionOwners = Set.of();
        machinesToResend.clear();
        if (leader != null) {
            cache.markAllNotForwarded();
            machinesToResend.addAll(cache.recentMachines(loop.now()));
        }
    }

    /** Whether the leader has answered this controller within a heartbeat interval. */
    public boolean leaderReachable(double now) {
        return leaderReachable && now - leaderAnsweredAt < heartbeatIntervalS;
    }

    /** Loop time in seconds at which the latest request answered by a leader was sent. */
    public double leaderAnsweredAt() {
        return leaderAnsweredAt;
    }

    /**
     * Loop time up to which all cancellations are settled on the machine by the answers that
     * leaders have sent it through this controller.
     */
    public double cancellationWatermark(String machine) {
        return cache.cancellationWatermark(machine);
    }

    /**
     * Loop time up to which a leader's answer to a heartbeat settles all cancellations on the
     * machine. An answer with a stop order settles none: it may not arrive, and the attempt to be
     * stopped may not have started yet. An answer without one means that no attempt of a job
     * cancelled by then can be live on the machine.
     *
     * @param anyStop whether the answer contains a stop order
     * @param cancellationsKnownAsOf loop time up to which that leader knew all cancellations
     */
    public static double cancellationWatermark(boolean anyStop, double cancellationsKnownAsOf) {
        return anyStop ? Double.NEGATIVE_INFINITY : cancellationsKnownAsOf;
    }

    /** The highest fencing token that this controller has received from a leader. */
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The controllers that own a partition, from the leader's latest reply. */
    public Set<String> partitionOwners() {
        return partitionOwners;
    }

    /** The recent heartbeats of this partition with their ages, for a newly elected leader. */
    public List<CachedHeartbeat> cachedHeartbeats(double now) {
        return cache.recentHeartbeats(now);
    }

    /**
     * Caches a heartbeat that a leader has answered, so that a new leader does not have to wait for
     * the next one.
     *
     * @param watermark loop time up to which that answer settles all cancellations on the machine
     */
    public void cacheHeartbeat(Heartbeat heartbeat, byte[] encoded, double watermark) {
        cache.put(heartbeat, encoded, watermark, loop.now());
    }

    /**
     * Queues a worker's heartbeat for the leader. The callback is called once, with the leader's
     * verdict or {@link LeaderVerdict#UNREACHABLE}.
     */
    public void submit(Heartbeat heartbeat, byte[] encoded, Consumer<LeaderVerdict> onVerdict) {
        pending.add(new PendingHeartbeat(heartbeat, encoded, onVerdict));
    }

    /** Queues a worker's reply to direct orders for the leader. */
    public void addDirectOrderReply(byte[] encoded) {
        pendingDirectOrderReplies.add(encoded);
    }

    /** Sends the next request if one is due; called after each command batch and between them. */
    public void flush() {
        double now = loop.now();
        if (leader == null) {
            failPending();
            pendingDirectOrderReplies.clear();
            return;
        }
        boolean anythingToSend =
                !pending.isEmpty()
                        || !pendingDirectOrderReplies.isEmpty()
                        || !machinesToResend.isEmpty();
        // Requests are spaced so that heartbeats of many workers share one message to the leader.
        // With nothing to forward, an empty message still shows the leader that this controller is
        // live.
        if (!requestInFlight
                && now - lastSentAt
                        >= (anythingToSend ? heartbeatIntervalS / 50 : heartbeatIntervalS / 4)) {
            send(now);
        }
    }

    private void failPending() {
        while (!pending.isEmpty()) {
            pending.poll().onVerdict.accept(LeaderVerdict.UNREACHABLE);
        }
    }

    private void send(double now) {
        requestInFlight = true;
        lastSentAt = now;
        HeartbeatBatchBuilder message =
                new HeartbeatBatchBuilder(settings.node(), incarnation, ++sequence, fencingToken);
        List<PendingHeartbeat> batch = addHeartbeats(message);
        while (!pendingDirectOrderReplies.isEmpty() && message.hasRoom()) {
            message.addDirectOrderReply(pendingDirectOrderReplies.poll());
        }
        addCached(message, now);
        Settings.Member to = leader;
        // Well below the worker timeout: if the leader does not reply, these workers, and those
        // queued for the next request, can still be answered in time without orders.
        client.send(
                new OutboundRequest(
                        to.address().host(),
                        to.address().port(),
                        1,
                        "POST",
                        Peers.HEARTBEATS_PATH,
                        message.encode(),
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
        while (!machinesToResend.isEmpty() && message.hasRoom()) {
            HeartbeatCache.Entry last = cache.get(machinesToResend.poll());
            if (last != null) {
                message.addCached(last.encoded(), now - last.answeredAt());
            }
        }
    }

    private void replyReceived(
            Settings.Member from,
            double requestSentAt,
            List<PendingHeartbeat> batch,
            HttpOutcome outcome) {
        requestInFlight = false;
        Optional<HeartbeatBatchReply> parsed = parseReply(outcome, batch.size());
        if (parsed.isEmpty() || from != leader) {
            batch.forEach(this::fail);
            return;
        }
        HeartbeatBatchReply reply = parsed.get();
        fencingToken = FencingToken.newest(fencingToken, reply.fencingToken());
        partitionOwners = reply.partitionOwners();
        leaderReachable = true;
        leaderAnsweredAt = Math.max(leaderAnsweredAt, requestSentAt);
        double cancellationsKnownAsOf = requestSentAt - reply.storeContactAgeS();
        for (int i = 0; i < batch.size(); i++) {
            applyVerdict(batch.get(i), reply.verdicts().get(i), cancellationsKnownAsOf);
        }
        cache.evictOlderThan(
                loop.now() - settings.deployment().workerTimings().cancellationDeadlineS());
    }

    private static Optional<HeartbeatBatchReply> parseReply(HttpOutcome outcome, int heartbeats) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            return PeerMessages.readBatchReply(answered.json(), heartbeats);
        }
        return Optional.empty();
    }

    private void fail(PendingHeartbeat unanswered) {
        cache.markNotForwarded(unanswered.heartbeat.machine());
        unanswered.onVerdict.accept(LeaderVerdict.UNREACHABLE);
    }

    private void applyVerdict(
            PendingHeartbeat answered, LeaderVerdict verdict, double cancellationsKnownAsOf) {
        if (verdict instanceof LeaderVerdict.FullHeartbeatRequired && !answered.sendInFull) {
            answered.sendInFull = true;
            pending.add(answered);
            return;
        }
        if (verdict instanceof LeaderVerdict.Orders orders) {
            double watermark =
                    cancellationWatermark(
                            WorkerProtocol.containsStop(orders.orders()), cancellationsKnownAsOf);
            cacheHeartbeat(answered.heartbeat, answered.encoded, watermark);
            cache.markForwarded(answered.heartbeat);
        }
        answered.onVerdict.accept(verdict);
    }
}
