package io.pepperfield.heartbeat;

import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.LeaseRenewal;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.health.ZonePartitionDetector;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.Partitions;
import io.pepperfield.peer.PeerMessages;
import io.pepperfield.peer.Peers;
import io.pepperfield.peer.Reachability;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Who answers a worker's report, and with what: the leader itself, a partition owner with the
 * leader's word, or one without it.
 */
public final class HeartbeatHandler {

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final HeartbeatForwarder forwarder;
    private final Peers peers;
    private final ReplicaSynchronizer synchronizer;
    private final Membership membership;
    private final LeaseRenewal leaseRenewal;
    private final PauseDetector pauseDetector;
    private final LogOnce logOnce = new LogOnce();
    private final double heartbeatIntervalS;
    private final ZonePartitionDetector zonePartitionDetector = new ZonePartitionDetector();

    /** Machines of other partitions that report here, and since when. */
    private final Map<String, Double> misroutedSince = new HashMap<>();

    private Reachability reachability;

    /** Null while this node does not lead, or has not read its books yet. */
    private LeaderHeartbeats leader;

    /** Creates the handler of a controller that does not lead. */
    public HeartbeatHandler(
            Loop loop,
            Settings settings,
            Leadership leadership,
            HeartbeatForwarder forwarder,
            Peers peers,
            ReplicaSynchronizer sync,
            Membership members,
            LeaseRenewal renewal,
            PauseDetector pauseDetector) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.forwarder = forwarder;
        this.peers = peers;
        this.synchronizer = sync;
        this.membership = members;
        this.leaseRenewal = renewal;
        this.pauseDetector = pauseDetector;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.reachability =
                new Reachability(
                        heartbeatIntervalS, settings.deployment().workerTimings().leaseS());
    }

    /** This node's leadership begins, or with null ends. */
    public void setLeader(LeaderHeartbeats by) {
        leader = by;
        if (by != null) {
            reachability =
                    new Reachability(
                            heartbeatIntervalS, settings.deployment().workerTimings().leaseS());
        }
    }

    /** A worker reports. */
    public void handle(InboundRequest call, Consumer<HttpReply> answer) {
        Heartbeat report = WorkerProtocol.parseHeartbeat(Json.read(call.body())).orElse(null);
        if (report == null) {
            logOnce.warn("a worker", "sends what is no report");
            answer.accept(HttpReply.error(400, "not a report"));
            return;
        }
        double now = loop.now();
        zonePartitionDetector.recordHeartbeat(report.zone().equals(settings.zone()));
        if (pauseDetector.checkStale()) {
            answer.accept(HttpReply.error(503, "has stood still"));
        } else if (leadership.isLeader()) {
            handleAsLeader(report, call.body(), now, answer);
        } else if (forwarder.leaderReachable(now)) {
            if (!redirected(report, forwarder.partitionOwners(), answer)) {
                forwarder.submit(
                        report, call.body(), verdict -> answerWithVerdict(report, verdict, answer));
            }
        } else {
            handleWithoutLeader(report, now, answer);
        }
    }

    private void handleAsLeader(
            Heartbeat report, byte[] raw, double now, Consumer<HttpReply> answer) {
        if (report.fencingToken().isNewerThan(leadership.fencingToken())) {
            leadership.observeFencingToken(report.fencingToken());
            answer.accept(HttpReply.error(503, "a newer token is about"));
        } else if (!mayAnswerAsLeader(now)) {
            answer.accept(HttpReply.error(503, "not in touch with the state service"));
        } else if (leader == null) {
            renewLeaseWithoutLeader(report, answer);
        } else {
            answerAsLeader(report, raw, now, answer);
        }
    }

    private void handleWithoutLeader(Heartbeat report, double now, Consumer<HttpReply> answer) {
        if (!isIsolated(now) && leaderMayBeAbsent(now)) {
            renewLeaseWithoutLeader(report, answer);
        } else if (othersReachLeader(now)) {
            answer.accept(HttpReply.json(421, WorkerProtocol.redirect(leadership.leaderNode())));
        } else {
            // Cut off from the leader and the state service: others take the worker within its
            // lease.
            answer.accept(HttpReply.error(503, "not in touch with the leader"));
        }
    }

    /** Whether nobody may lead just now, or nobody here can tell who does. */
    private boolean leaderMayBeAbsent(double now) {
        return now - forwarder.leaderAnsweredAt() < heartbeatIntervalS
                || leadership.leaderNode().isEmpty()
                || peers.stateContact(now) != Peers.StateContact.CONNECTED;
    }

    /** Whether another node leads that this one cannot reach, while the state service answers. */
    private boolean othersReachLeader(double now) {
        return peers.stateContact(now) == Peers.StateContact.CONNECTED
                && !leadership.leaderNode().isEmpty()
                && !leadership.leaderNode().equals(settings.node());
    }

    /** The leader takes a worker's report itself. */
    private void answerAsLeader(
            Heartbeat report, byte[] raw, double now, Consumer<HttpReply> answer) {
        Set<String> owners = partitionOwners(now);
        if (redirected(report, owners, answer)) {
            return;
        }
        List<Order> orders = leader.acceptHeartbeat(report, "");
        reachability.recordHeartbeat(
                report.machine(), Partitions.owner(report.machine(), owners), settings.node(), now);
        if (orders == null) {
            logOnce.warn(report.machine(), "sends a late copy of a report, or has been returned");
        } else {
            forwarder.cacheHeartbeat(
                    report,
                    raw,
                    HeartbeatForwarder.cancellationWatermark(
                            orders.stream().anyMatch(Order.Stop.class::isInstance),
                            synchronizer.lastConfirmedAt()));
        }
        answer.accept(
                orders == null
                        ? HttpReply.error(503, "an old report")
                        : HttpReply.json(
                                200,
                                WorkerProtocol.heartbeatReply(leadership.fencingToken(), orders)));
    }

    /**
     * Sends a machine of another partition to its owner; only after a report period, since its
     * owner may have just ended, and to be sent to and fro costs more of its lease than a detour
     * through this node.
     */
    private boolean redirected(Heartbeat report, Set<String> live, Consumer<HttpReply> answer) {
        String owner = Partitions.owner(report.machine(), live);
        if (owner.equals(settings.node()) || owner.isEmpty()) {
            misroutedSince.remove(report.machine());
            return false;
        }
        double since = misroutedSince.computeIfAbsent(report.machine(), m -> loop.now());
        if (loop.now() - since < heartbeatIntervalS) {
            return false;
        }
        misroutedSince.remove(report.machine());
        answer.accept(HttpReply.json(421, WorkerProtocol.redirect(owner)));
        return true;
    }

    /** Forgets the misrouted machines that were last seen before that loop time. */
    public void forgetMisrouted(double before) {
        misroutedSince.values().removeIf(since -> since < before);
    }

    private void answerWithVerdict(
            Heartbeat report, PeerMessages.LeaderVerdict verdict, Consumer<HttpReply> answer) {
        if (pauseDetector.checkStale()) {
            answer.accept(HttpReply.error(503, "has stood still"));
        } else if (verdict instanceof PeerMessages.LeaderVerdict.Orders orders
                && forwarder.fencingToken().isAtLeast(report.fencingToken())) {
            answer.accept(
                    HttpReply.json(
                            200,
                            WorkerProtocol.heartbeatReply(
                                    forwarder.fencingToken(), orders.orders())));
        } else if (verdict == null) {
            renewLeaseWithoutLeader(report, answer);
        } else {
            answer.accept(HttpReply.error(503, "an old report"));
        }
    }

    /**
     * Renews a lease while nobody leads or the leader cannot be asked, with no orders but stops for
     * what is known to be cancelled; as long as either the last leader's word for this machine or
     * this node's own knowledge allows.
     */
    private void renewLeaseWithoutLeader(Heartbeat report, Consumer<HttpReply> answer) {
        FencingToken token =
                FencingToken.newest(leadership.highestFencingToken(), forwarder.fencingToken());
        double settledUpTo =
                Math.max(
                        forwarder.cancellationWatermark(report.machine()),
                        leaseRenewal.localCancellationWatermark(report));
        if (!token.exists() || report.fencingToken().isNewerThan(token)) {
            // A worker drops an answer with a lower token, and would stay here while its lease runs
            // out.
            answer.accept(HttpReply.error(503, "no valid token is known here"));
        } else if (!leaseRenewal.mayRenew(settledUpTo, loop.now())) {
            answer.accept(HttpReply.error(503, "no leader answers"));
        } else {
            answer.accept(
                    HttpReply.json(
                            200,
                            WorkerProtocol.heartbeatReply(
                                    token, leaseRenewal.stopsForCancelled(report))));
        }
    }

    /**
     * Cut off from the state service, and from whoever may lead by now: others are to take the
     * workers within their leases. Not so where the whole zone is cut off, since its workers reach
     * nobody else either.
     */
    private boolean isIsolated(double now) {
        return !leadership.holdsValidLease()
                && !forwarder.leaderReachable(now)
                && peers.stateContact(now) == Peers.StateContact.ISOLATED
                && !zonePartitionDetector.isPartitioned();
    }

    /** Whether this node, which leads as far as it knows, may answer workers. */
    private boolean mayAnswerAsLeader(double now) {
        return !isIsolated(now) && leaseRenewal.mayRenew(synchronizer.lastConfirmedAt(), now);
    }

    /** The controllers that are to take the reports of a partition, as the leader sees them. */
    public Set<String> partitionOwners(double now) {
        return reachability.owners(membership.liveMembers(now), now);
    }

    /**
     * For the leader, often: whether others reach the workers and it does not, so that somebody
     * else should lead.
     */
    public boolean leaderHasReceiveFailure(double now) {
        if (!mayAnswerAsLeader(now)) {
            // Who is refused everywhere is heard nowhere, and turns up at random afterwards.
            reachability.restartObservation();
        }
        partitionOwners(now);
        // In an outage nobody else could be elected, and machines would get no stops from anybody.
        return leadership.holdsValidLease() && hasReceiveFailure(settings.node(), now);
    }

    /** Whether that controller gets no heartbeats although workers reach others. */
    public boolean hasReceiveFailure(String node, double now) {
        return reachability.hasReceiveFailure(node, now);
    }

    /** What a partition owner passes on. */
    public void handleForwarded(PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer) {
        double now = loop.now();
        if (batch.fencingToken().isNewerThan(leadership.fencingToken()) && leadership.isLeader()) {
            leadership.observeFencingToken(batch.fencingToken());
        }
        if (pauseDetector.checkStale()
                || !leadership.isLeader()
                || leader == null
                || !mayAnswerAsLeader(now)) {
            answer.accept(HttpReply.error(503, "not leading"));
            return;
        }
        if (!membership.recordMessage(batch.sender(), batch.incarnation(), batch.sequence(), now)) {
            logOnce.warn(batch.sender(), "a message of its earlier process or a copy came");
            answer.accept(HttpReply.error(409, "a message of an earlier process"));
            return;
        }
        batch.cachedHeartbeats().forEach(leader::restoreCachedHeartbeat);
        batch.directOrderReplies().forEach(leader::directOrderReplyReceived);
        List<PeerMessages.LeaderVerdict> verdicts = new ArrayList<>();
        Set<String> owners = partitionOwners(now);
        batch.heartbeats()
                .forEach(
                        beat -> {
                            reachability.recordHeartbeat(
                                    beat.machine(),
                                    Partitions.owner(beat.machine(), owners),
                                    batch.sender(),
                                    now);
                            verdicts.add(leader.acceptForwardedHeartbeat(beat, batch.sender()));
                        });
        answer.accept(
                new HttpReply(
                        200,
                        PeerMessages.writeBatchReply(
                                leadership.fencingToken(),
                                now - synchronizer.lastConfirmedAt(),
                                owners,
                                verdicts),
                        0));
    }
}
