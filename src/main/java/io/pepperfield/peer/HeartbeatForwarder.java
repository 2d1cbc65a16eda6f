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
 * A partition owner's side of its link to the leader. Heartbeats that came together are forwarded
 * in one message, and one message is in flight at a time; the leader's reply holds a verdict on
 * each heartbeat. What a heartbeat repeats of the one before is left out. Confined to the event
 * loop.
 */
public final class HeartbeatForwarder {

    /** How long a worker waits for an answer. */
    private static final double WORKER_TIMEOUT_S = 4;

    /** A worker's heartbeat that waits for its verdict. */
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
    private final ArrayDeque<byte[]> directOrderReplies = new ArrayDeque<>();
    private final ArrayDeque<String> cachedToSend = new ArrayDeque<>();
    private final HeartbeatCache cache;

    /** Null where nobody is known to lead, and while this controller leads itself. */
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
     * Sets who leads, as this controller knows it; empty where nobody does. Another leader than
     * before has no heartbeats of this partition yet.
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
        cachedToSend.clear();
        if (leader != null) {
            cache.markAllNotForwarded();
            cachedToSend.addAll(cache.recentMachines(loop.now()));
        }
    }

    /** Whether the leader has answered this controller within a heartbeat interval. */
    public boolean leaderReachable(double now) {
        return leaderReachable && now - leaderAnsweredAt < heartbeatIntervalS;
    }

    /** Loop time in seconds at which the last message was sent that a leader has answered. */
    public double leaderAnsweredAt() {
        return leaderAnsweredAt;
    }

    /**
     * Loop time up to which all cancellations are settled on the machine, by what leaders have
     * answered it through this controller.
     */
    public double cancellationWatermark(String machine) {
        return cache.cancellationWatermark(machine);
    }

    /**
     * Loop time up to which a leader's answer to a heartbeat settles all cancellations there. One
     * with a stop settles nothing: whether it arrives nobody knows, and what is to be stopped may
     * not even have begun. One without says that no attempt of a job cancelled by then may be alive
     * there.
     *
     * @param knownUpTo up to when that leader knew all cancellations
     */
    public static double cancellationWatermark(boolean anyStop, double knownUpTo) {
        return anyStop ? Double.NEGATIVE_INFINITY : knownUpTo;
    }

    /** The highest fencing token that a leader has shown this controller. */
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The controllers that own a partition, as the leader said last. */
    public Set<String> partitionOwners() {
        return partitionOwners;
    }

    /**
     * The last heartbeats of this partition with their ages, for a leader that was just elected.
     */
    public List<CachedHeartbeat> cachedHeartbeats(double now) {
        return cache.recentHeartbeats(now);
    }

    /**
     * Keeps a heartbeat that a leader has answered, so that a new leader need not wait for the
     * next.
     *
     * @param watermark loop time up to which that answer settles all cancellations there
     */
    public void cacheHeartbeat(Heartbeat heartbeat, byte[] encoded, double watermark) {
        cache.put(heartbeat, encoded, watermark, loop.now());
    }

    /**
     * Forwards a worker's heartbeat; called back once, with the leader's verdict or {@link
     * LeaderVerdict#UNREACHABLE}.
     */
    public void submit(Heartbeat heartbeat, byte[] encoded, Consumer<LeaderVerdict> onVerdict) {
        pending.add(new PendingHeartbeat(heartbeat, encoded, onVerdict));
    }

    /** Forwards a worker's reply to direct orders. */
    public void addDirectOrderReply(byte[] encoded) {
        directOrderReplies.add(encoded);
    }

    /** To be called at the end of each batch of commands, and often otherwise. */
    public void flush() {
        double now = loop.now();
        if (leader == null) {
            failPending();
            directOrderReplies.clear();
            return;
        }
        boolean anythingToSend =
                !pending.isEmpty() || !directOrderReplies.isEmpty() || !cachedToSend.isEmpty();
        // Spaced, so that what comes from many workers costs the leader few messages; an empty
        // message now and then shows that this controller is live.
        if (!requestInFlight
                && now - sentAt
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
        sentAt = now;
        HeartbeatBatchBuilder message =
                new HeartbeatBatchBuilder(settings.node(), incarnation, ++sequence, fencingToken);
        List<PendingHeartbeat> batch = addHeartbeats(message);
        while (!directOrderReplies.isEmpty() && message.hasRoom()) {
            message.addDirectOrderReply(directOrderReplies.poll());
        }
        addCached(message, now);
        Settings.Member to = leader;
        // Well within a worker's timeout, so that it can still be answered without orders, also one
        // that waits behind these.
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
        while (!cachedToSend.isEmpty() && message.hasRoom()) {
            HeartbeatCache.Entry last = cache.get(cachedToSend.poll());
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
        double knownUpTo = requestSentAt - reply.storeContactAgeS();
        for (int i = 0; i < batch.size(); i++) {
            applyVerdict(batch.get(i), reply.verdicts().get(i), knownUpTo);
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

    private void applyVerdict(PendingHeartbeat answered, LeaderVerdict verdict, double knownUpTo) {
        if (verdict instanceof LeaderVerdict.FullHeartbeatRequired && !answered.sendInFull) {
            answered.sendInFull = true;
            pending.add(answered);
            return;
        }
        if (verdict instanceof LeaderVerdict.Orders orders) {
            double watermark =
                    cancellationWatermark(WorkerProtocol.containsStop(orders.orders()), knownUpTo);
            cacheHeartbeat(answered.heartbeat, answered.encoded, watermark);
            cache.markForwarded(answered.heartbeat);
        }
        answered.onVerdict.accept(verdict);
    }
}
