package io.pepperfield.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.ForwardingMessages;
import io.pepperfield.peer.Members;
import io.pepperfield.peer.Partitions;
import io.pepperfield.peer.Peers;
import io.pepperfield.peer.Reachability;
import io.pepperfield.peer.ReportForwarder;
import io.pepperfield.store.Sync;
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
final class ReportHandler {

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final ReportForwarder forwarder;
    private final Peers peers;
    private final Sync sync;
    private final Members members;
    private final LeaseRenewal renewal;
    private final PauseDetector pauseDetector;
    private final Warnings warnings = new Warnings();
    private final double reportS;
    private final ZoneWatch zoneWatch = new ZoneWatch();

    /** Machines of other partitions that report here, and since when. */
    private final Map<String, Double> strays = new HashMap<>();

    private Reachability reachability;

    /** Null while this node does not lead, or has not read its books yet. */
    private LeaderHeartbeats leader;

    ReportHandler(
            Loop loop,
            Settings settings,
            Leadership leadership,
            ReportForwarder forwarder,
            Peers peers,
            Sync sync,
            Members members,
            LeaseRenewal renewal,
            PauseDetector pauseDetector) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.forwarder = forwarder;
        this.peers = peers;
        this.sync = sync;
        this.members = members;
        this.renewal = renewal;
        this.pauseDetector = pauseDetector;
        this.reportS = settings.deployment().workers().reportS();
        this.reachability = new Reachability(reportS, settings.deployment().workers().leaseS());
    }

    /** This node's leadership begins, or with null ends. */
    void lead(LeaderHeartbeats by) {
        leader = by;
        if (by != null) {
            reachability = new Reachability(reportS, settings.deployment().workers().leaseS());
        }
    }

    /** A worker reports. */
    void beat(Call call, Consumer<Reply> answer) {
        Report report = Report.read(Json.read(call.body()));
        if (report == null) {
            warnings.once("a worker", "sends what is no report");
            answer.accept(Reply.error(400, "not a report"));
            return;
        }
        double now = loop.now();
        zoneWatch.heard(report.zone().equals(settings.zone()));
        if (pauseDetector.stale()) {
            answer.accept(Reply.error(503, "has stood still"));
        } else if (leadership.leading()) {
            beatAsLeader(report, call.body(), now, answer);
        } else if (forwarder.linked(now)) {
            if (!sentHome(report, forwarder.live(), answer)) {
                forwarder.submit(
                        report, call.body(), verdict -> forwarded(report, verdict, answer));
            }
        } else {
            beatWithoutLeader(report, now, answer);
        }
    }

    private void beatAsLeader(Report report, byte[] raw, double now, Consumer<Reply> answer) {
        if (report.token() > leadership.token()) {
            leadership.sawToken(report.token());
            answer.accept(Reply.error(503, "a newer token is about"));
        } else if (!mayLeadWorkers(now)) {
            answer.accept(Reply.error(503, "not in touch with the state service"));
        } else if (leader == null) {
            keepAlive(report, answer);
        } else {
            ownReport(report, raw, now, answer);
        }
    }

    private void beatWithoutLeader(Report report, double now, Consumer<Reply> answer) {
        if (!lostAlone(now) && leaderMayBeAway(now)) {
            keepAlive(report, answer);
        } else if (othersReachLeader(now)) {
            answer.accept(Reply.json(421, Json.object().put("manager", leadership.leader())));
        } else {
            // Cut off from the leader and the state service: others take the worker within its
            // lease.
            answer.accept(Reply.error(503, "not in touch with the leader"));
        }
    }

    /** Whether nobody may lead just now, or nobody here can tell who does. */
    private boolean leaderMayBeAway(double now) {
        return now - forwarder.linkedAt() < reportS
                || leadership.leader().isEmpty()
                || peers.contact(now) != Peers.Contact.FINE;
    }

    /** Whether another node leads that this one cannot reach, while the state service answers. */
    private boolean othersReachLeader(double now) {
        return peers.contact(now) == Peers.Contact.FINE
                && !leadership.leader().isEmpty()
                && !leadership.leader().equals(settings.node());
    }

    /** The leader takes a worker's report itself. */
    private void ownReport(Report report, byte[] raw, double now, Consumer<Reply> answer) {
        Set<String> owners = owners(now);
        if (sentHome(report, owners, answer)) {
            return;
        }
        List<Order> orders = leader.report(report, "");
        reachability.report(
                report.machine(), Partitions.owner(report.machine(), owners), settings.node(), now);
        if (orders == null) {
            warnings.once(report.machine(), "sends a late copy of a report, or has been returned");
        } else {
            forwarder.remember(
                    report,
                    raw,
                    ReportForwarder.settledUpTo(
                            orders.stream().anyMatch(Order.Stop.class::isInstance),
                            sync.contactAt()));
        }
        answer.accept(
                orders == null
                        ? Reply.error(503, "an old report")
                        : Reply.json(200, Order.reply(leadership.token(), orders)));
    }

    /**
     * Sends a machine of another partition to its owner; only after a report period, since its
     * owner may have just ended, and to be sent to and fro costs more of its lease than a detour
     * through this node.
     */
    private boolean sentHome(Report report, Set<String> live, Consumer<Reply> answer) {
        String owner = Partitions.owner(report.machine(), live);
        if (owner.equals(settings.node()) || owner.isEmpty()) {
            strays.remove(report.machine());
            return false;
        }
        double since = strays.computeIfAbsent(report.machine(), m -> loop.now());
        if (loop.now() - since < reportS) {
            return false;
        }
        strays.remove(report.machine());
        answer.accept(Reply.json(421, Json.object().put("manager", owner)));
        return true;
    }

    void forgetStrays(double before) {
        strays.values().removeIf(since -> since < before);
    }

    private void forwarded(
            Report report, ForwardingMessages.Verdict verdict, Consumer<Reply> answer) {
        if (pauseDetector.stale()) {
            answer.accept(Reply.error(503, "has stood still"));
        } else if (verdict instanceof ForwardingMessages.Verdict.Orders orders
                && forwarder.token() >= report.token()) {
            ObjectNode body = Json.object().put("epoch", forwarder.token());
            body.set("orders", orders.orders());
            answer.accept(Reply.json(200, body));
        } else if (verdict == null) {
            keepAlive(report, answer);
        } else {
            answer.accept(Reply.error(503, "an old report"));
        }
    }

    /**
     * Renews a lease while nobody leads or the leader cannot be asked, with no orders but stops for
     * what is known to be cancelled; as long as either the last leader's word for this machine or
     * this node's own knowledge allows.
     */
    private void keepAlive(Report report, Consumer<Reply> answer) {
        long token = Math.max(leadership.leaderToken(), forwarder.token());
        double settledUpTo =
                Math.max(
                        forwarder.settledUpTo(report.machine()),
                        renewal.settledByOwnKnowledge(report));
        if (token == 0 || report.token() > token) {
            // A worker drops an answer with a lower token, and would stay here while its lease runs
            // out.
            answer.accept(Reply.error(503, "no valid token is known here"));
        } else if (!renewal.allowed(settledUpTo, loop.now())) {
            answer.accept(Reply.error(503, "no leader answers"));
        } else {
            answer.accept(Reply.json(200, Order.reply(token, renewal.stops(report))));
        }
    }

    /**
     * Cut off from the state service, and from whoever may lead by now: others are to take the
     * workers within their leases. Not so where the whole zone is cut off, since its workers reach
     * nobody else either.
     */
    private boolean lostAlone(double now) {
        return !leadership.confirmed()
                && !forwarder.linked(now)
                && peers.contact(now) == Peers.Contact.LOST_ALONE
                && !zoneWatch.cutOff();
    }

    /** Whether this node, which leads as far as it knows, may answer workers. */
    private boolean mayLeadWorkers(double now) {
        return !lostAlone(now) && renewal.allowed(sync.contactAt(), now);
    }

    /** The controllers that are to take the reports of a partition, as the leader sees them. */
    Set<String> owners(double now) {
        return reachability.owners(members.live(now), now);
    }

    /**
     * For the leader, often: whether others reach the workers and it does not, so that somebody
     * else should lead.
     */
    boolean unheard(double now) {
        if (!mayLeadWorkers(now)) {
            // Who is refused everywhere is heard nowhere, and turns up at random afterwards.
            reachability.paused();
        }
        owners(now);
        // In an outage nobody else could be elected, and machines would get no stops from anybody.
        return leadership.confirmed() && hearsNobody(settings.node(), now);
    }

    boolean hearsNobody(String node, double now) {
        return reachability.deaf(node, now);
    }

    /** What a partition owner passes on. */
    void receiveForwarded(ForwardingMessages.Batch batch, Consumer<Reply> answer) {
        double now = loop.now();
        if (batch.token() > leadership.token() && leadership.leading()) {
            leadership.sawToken(batch.token());
        }
        if (pauseDetector.stale()
                || !leadership.leading()
                || leader == null
                || !mayLeadWorkers(now)) {
            answer.accept(Reply.error(503, "not leading"));
            return;
        }
        if (!members.heard(batch.node(), batch.life(), batch.sequence(), now)) {
            warnings.once(batch.node(), "a message of its earlier process or a copy came");
            answer.accept(Reply.error(409, "a message of an earlier process"));
            return;
        }
        batch.kept().forEach(leader::remembered);
        batch.heard().forEach(leader::heard);
        List<ForwardingMessages.Verdict> verdicts = new ArrayList<>();
        Set<String> owners = owners(now);
        batch.beats()
                .forEach(
                        beat -> {
                            reachability.report(
                                    beat.machine(),
                                    Partitions.owner(beat.machine(), owners),
                                    batch.node(),
                                    now);
                            verdicts.add(leader.forwardedReport(beat, batch.node()));
                        });
        answer.accept(
                new Reply(
                        200,
                        ForwardingMessages.answer(
                                leadership.token(), now - sync.contactAt(), owners, verdicts),
                        0));
    }
}
