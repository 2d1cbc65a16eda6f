package io.pepperfield.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Workers;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.Members;
import io.pepperfield.peer.PartitionOrders;
import io.pepperfield.peer.Peers;
import io.pepperfield.peer.Relay;
import io.pepperfield.peer.RelayMessages;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.StateService;
import io.pepperfield.store.Sync;
import io.pepperfield.store.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: every node answers users; the leading one also answers workers and decides. All
 * of it runs on the owner.
 */
public final class Controller implements Leadership.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    /** Sets this node's part of the state service's rates. */
    public interface Rates {
        void share(double requests, double leadersWrites, double usersWrites);
    }

    /** Where users ask about jobs. */
    static final String JOBS = "/api/jobs/";

    /** Where workers report. */
    static final String BEAT = "/agent/beat";

    /** Of the state service's changes, for what comes from users to this node. */
    private static final double USERS_PART = 0.25;

    private final Loop loop;
    private final Settings settings;
    private final Cloud cloud;
    private final Workers workers;
    private final Rates rates;
    private final Peers peers;
    private final Relay relay;
    private final PartitionOrders partitionOrders;
    private final Members members;
    private final ReportHandler reports;
    private final Standstill standstill;
    private final LeaseRenewal renewal;
    private Set<String> heardOf = Set.of();
    private final Types types;
    private final Catalog catalog;
    private final Replica replica;
    private final Sync sync;
    private final Leadership leadership;
    private final Writer writer;
    private final UserRequests users;
    private final Latencies latencies = new Latencies();
    private final Warnings warnings = new Warnings();
    private final double reportS;
    private final double grantS;
    private final double tickS;

    /** Jobs whose cancellation a user has been told here and the other controllers have not. */
    private final List<String> cancelledHere = new ArrayList<>();

    private Leader leader;
    private boolean askingTypes;
    private boolean askedTypes;
    private double typesAt = Double.NEGATIVE_INFINITY;
    private double summaryAt;

    /** Controllers that users may have come to, as far as this one knows. */
    private int takingPart;

    public Controller(
            Loop loop,
            Settings settings,
            StateService state,
            Cloud cloud,
            Workers workers,
            Peers peers,
            Relay relay,
            Rates rates) {
        this.loop = loop;
        this.settings = settings;
        this.cloud = cloud;
        this.workers = workers;
        this.rates = rates;
        this.peers = peers;
        this.relay = relay;
        this.partitionOrders = new PartitionOrders(workers, peers, settings);
        this.types = new Types(settings);
        this.takingPart = settings.deployment().size();
        this.reportS = settings.deployment().workers().reportS();
        // Three words are missed before a partition is taken from its owner.
        this.members = new Members(settings.node(), 0.75 * reportS);
        peers.handler(
                new Peers.Handler() {
                    @Override
                    public void relayed(RelayMessages.Batch batch, Consumer<Reply> answer) {
                        reports.relayedTo(batch, answer);
                    }

                    @Override
                    public void direct(long token, RelayMessages.Direct message) {
                        if (standstill.stale()) {
                            // Meant for then; by now another may lead, and the machine be told
                            // otherwise.
                            return;
                        }
                        workers.forward(
                                message.address(),
                                token,
                                message.tenure(),
                                message.orders(),
                                relay::heard);
                    }

                    @Override
                    public void cancelled(List<String> ids) {
                        ids.forEach(Controller.this::cancelledElsewhere);
                    }
                });
        Settings.State limits = settings.deployment().state();
        int size = settings.deployment().size();
        // A user waits for a confirmation and a worker for a new job: a twentieth of the rate for
        // each kind of question.
        double spacingS = 10.0 * size / limits.rps() / 4;
        this.replica = new Replica(this::changed);
        this.sync = new Sync(loop, state, replica, reportS / 2, spacingS);
        // Below a worker's patience of a lease by far, so that a take-over costs no task; above a
        // pause of this process.
        this.grantS = Math.min(settings.deployment().workers().leaseS() / 8, reportS);
        this.leadership = new Leadership(loop, state, settings.node(), grantS, this);
        this.tickS = grantS / 20;
        this.catalog = new Catalog(sync::contactAt);
        this.standstill =
                new Standstill(loop, grantS, () -> Math.max(sync.contactAt(), relay.linkedAt()));
        this.renewal = new LeaseRenewal(settings.deployment().workers(), catalog, sync::contactAt);
        this.reports =
                new ReportHandler(
                        loop,
                        settings,
                        leadership,
                        relay,
                        peers,
                        sync,
                        members,
                        renewal,
                        standstill,
                        warnings);
        this.writer =
                new Writer(
                        loop,
                        state,
                        replica,
                        sync,
                        new Writer.Lead() {
                            @Override
                            public boolean confirmed() {
                                return leader != null && leadership.confirmed();
                            }

                            @Override
                            public StateService.Guard guard() {
                                return leadership.guard();
                            }
                        },
                        limits.txnOps(),
                        reportS / 10,
                        2 * reportS);
        this.users =
                new UserRequests(
                        loop,
                        catalog,
                        sync,
                        state,
                        types,
                        limits.txnOps(),
                        limits.valueKb(),
                        USERS_PART * limits.writeRps(),
                        questionsAtOnce(settings) / 2,
                        cancelledHere::add);
    }

    /**
     * Questions may hold an eighth of the sockets at once; each is answered in about a tenth of a
     * second.
     */
    static int questionsAtOnce(Settings settings) {
        return settings.deployment().quota().sockets() / 8;
    }

    public void start() {
        share(false);
        sync.start();
        tick();
    }

    /**
     * The leader writes most. Submissions and cancellations come to all nodes, but seldom to all at
     * once: each may use a quarter of the changes for them, a single one left twice as many, and
     * where that is too much together, the service's own refusal is the limit.
     */
    private void share(boolean leading) {
        Settings.State limits = settings.deployment().state();
        int others = settings.deployment().size() - 1;
        double users = Math.min(2 * USERS_PART, Math.max(USERS_PART, 3 * USERS_PART / takingPart));
        double part = others == 0 ? 0.95 : leading ? 0.45 : 0.5 / others;
        rates.share(
                limits.rps() * part,
                leading ? limits.writeRps() * 0.75 : 0,
                limits.writeRps() * users);
    }

    private void changed(String key, JsonNode data, long stamp) {
        if (key.equals(Keys.LEADER)) {
            leadership.leaderKey(data, stamp);
            if (!leadership.leader().isEmpty()) {
                relay.leader(leadership.leader());
            }
            return;
        }
        if (key.equals(Keys.TYPES) && data != null && !types.known()) {
            types.heard(TypesRecord.read(data));
        }
        catalog.changed(key, data);
        lighten(key);
        if (key.startsWith(Keys.JOB) || key.startsWith(Keys.END)) {
            tellLeader(key.substring(key.lastIndexOf('/') + 1));
        }
    }

    /** What has changed about a job, and about those that need it. */
    private void tellLeader(String id) {
        List<String> affected = catalog.takeAffected();
        if (leader != null) {
            leader.catalogChanged(id);
            affected.forEach(leader::catalogChanged);
        }
    }

    /**
     * The catalog keeps run records in its own short form, for as long as they say something; of
     * their keys only the stamps.
     */
    private void lighten(String key) {
        if (key.startsWith(Keys.RUN) || key.startsWith(Keys.SHARED)) {
            replica.lighten(key);
        }
    }

    /**
     * Another controller has told a user so, and thus it is durable: to be acted on before the
     * state service can be asked.
     */
    private void cancelledElsewhere(String id) {
        catalog.changed(Keys.END + id, JobMessages.durableEnd(Status.CANCELLED));
        tellLeader(id);
    }

    private void tick() {
        loop.after(tickS, this::tick);
        standstill.stale();
        int live =
                leader != null
                        ? members.live(loop.now()).size()
                        : relay.linked(loop.now())
                                ? relay.live().size()
                                : settings.deployment().size();
        if (live != takingPart) {
            takingPart = live;
            share(leadership.leading());
        }
        if (sync.loaded()) {
            leadership.replicaLoaded();
        }
        leadership.tick();
        if (leader != null) {
            leader.tick();
        }
        // The tick before may have given the lead away.
        if (leader != null) {
            lookAtOthers(loop.now());
        }
        peers.tick(loop.now(), sync.contactAt(), leadership.token());
        relay.flush();
        double now = loop.now();
        // Prices move: the leader asks now and then; the others need no more than to know the types
        // once.
        if (!askingTypes
                && now - typesAt >= (askedTypes ? settings.operators().chargeS() : 2)
                && (!types.known() || leadership.leading())) {
            askingTypes = true;
            typesAt = now;
            cloud.types(
                    heard -> {
                        askingTypes = false;
                        if (heard != null) {
                            types.heard(heard);
                            askedTypes = true;
                            if (leader != null) {
                                leader.typesHeard();
                            }
                        }
                    });
        }
        if (now - summaryAt >= settings.operators().chargeS()) {
            summaryAt = now;
            String line = latencies.summary();
            if (!line.isEmpty()) {
                LOG.info("answered {}", line);
            }
            if (leader != null) {
                LOG.info("{}, partitions of {}", leader.overview().summary(), reports.owners(now));
            }
            reports.forgetStrays(now - settings.operators().chargeS());
        }
    }

    /** At the end of each batch of commands. */
    public void flush() {
        standstill.stale();
        if (leader != null) {
            leader.flush();
        }
        relay.flush();
        users.flush();
        if (!cancelledHere.isEmpty()) {
            peers.cancelled(cancelledHere);
            cancelledHere.clear();
        }
    }

    /**
     * A command threw: books that may be half-written are dropped, and whoever leads next reads the
     * durable ones.
     */
    public void failed() {
        leadership.abdicate("an internal error", reportS);
    }

    // ---- leadership

    @Override
    public void elected(long token) {
        share(true);
        writer.reset();
        begin(token);
    }

    private void begin(long elected) {
        sync.confirm(
                current -> {
                    if (leadership.token() < elected || leader != null) {
                        return;
                    }
                    if (!current) {
                        loop.after(tickS, () -> begin(elected));
                        return;
                    }
                    leader =
                            new Leader(
                                    loop,
                                    settings,
                                    leadership,
                                    new DurableState(replica, catalog, writer, sync::contactAt),
                                    partitionOrders,
                                    cloud,
                                    types,
                                    renewal);
                    reports.lead(leader);
                    leader.takeOver();
                    relay.kept(loop.now()).forEach(leader::remembered);
                });
    }

    @Override
    public void renewedToken(long token) {
        if (leader != null) {
            leader.renewedToken(token);
        }
    }

    @Override
    public void deposed(String why) {
        share(false);
        heardOf = Set.of();
        if (leader != null) {
            leader.stop();
            leader = null;
            reports.lead(null);
        }
        writer.reset();
    }

    // ---- requests

    /** Takes a request of a user, a worker or the load balancer. */
    public void handle(Call call, Consumer<Reply> answer) {
        double began = loop.now();
        String path = call.path();
        if (path.equals("/up")) {
            only("GET", call, answer, () -> answer.accept(Reply.empty(healthy() ? 200 : 503)));
        } else if (path.equals(BEAT)) {
            only("POST", call, answer, () -> reports.beat(call, timed("beat", began, answer)));
        } else if (path.equals("/api/jobs")) {
            only(
                    "POST",
                    call,
                    answer,
                    () -> users.submit(call.body(), timed("submit", began, answer)));
        } else if (path.equals("/api/nodes")) {
            only("GET", call, answer, () -> answer.accept(Reply.json(200, overview())));
        } else if (path.startsWith(JOBS)) {
            String rest = path.substring(JOBS.length());
            boolean cancel = rest.endsWith("/cancel");
            String id = cancel ? rest.substring(0, rest.length() - "/cancel".length()) : rest;
            if (!JobMessages.validId(id)) {
                // No job of such a name can ever have been accepted.
                answer.accept(Reply.error(404, "no such job"));
            } else if (cancel) {
                only("POST", call, answer, () -> users.cancel(id, timed("cancel", began, answer)));
            } else {
                only("GET", call, answer, () -> users.query(id, timed("query", began, answer)));
            }
        } else {
            answer.accept(Reply.error(404, "no such path"));
        }
    }

    private static void only(String method, Call call, Consumer<Reply> answer, Runnable then) {
        if (call.method().equals(method)) {
            then.run();
        } else {
            answer.accept(Reply.error(405, "want " + method));
        }
    }

    private Consumer<Reply> timed(String kind, double began, Consumer<Reply> answer) {
        return reply -> {
            latencies.record(kind, loop.now() - began);
            // Open connections are never moved: a user on one to a node that can answer nobody
            // would ask there for ever.
            answer.accept(reply.status() == 503 && !healthy() ? reply.closing() : reply);
        };
    }

    /**
     * A node alone without the state service leaves the load balancer; one among many in an outage
     * stays.
     */
    private boolean healthy() {
        return sync.loaded() && peers.contact(loop.now()) != Peers.Contact.LOST_ALONE;
    }

    /** Tells the log who is silent, and gives the lead to somebody whom the workers reach. */
    private void lookAtOthers(double now) {
        Set<String> live = members.live(now);
        heardOf.stream()
                .filter(node -> !live.contains(node))
                .forEach(
                        node ->
                                LOG.info(
                                        "{} has been silent for {} s: its workers go to {}",
                                        node,
                                        Math.round(members.silentFor(node, now)),
                                        live));
        live.stream()
                .filter(node -> !heardOf.contains(node))
                .forEach(node -> LOG.info("{} takes part", node));
        heardOf = live;
        if (reports.unheard(now)) {
            // Others reach them all: whoever leads next sends its orders directly.
            leadership.abdicate(
                    "no worker reaches this node, and others do",
                    settings.deployment().workers().leaseS());
        }
    }

    /** What operators see of this node. */
    private JsonNode overview() {
        ObjectNode node =
                Json.object()
                        .put("node", settings.node())
                        .put("zone", settings.zone())
                        .put("leader", leadership.leader())
                        .put("leading", leadership.leading())
                        .put("epoch", leadership.token())
                        .put(
                                "stateContactS",
                                Math.round(100 * (loop.now() - sync.contactAt())) / 100.0);
        if (leader != null) {
            double now = loop.now();
            ArrayNode controllers = node.putArray("controllers");
            settings.members()
                    .forEach(
                            member -> {
                                double silent = members.silentFor(member.node(), now);
                                ObjectNode line =
                                        controllers
                                                .addObject()
                                                .put("node", member.node())
                                                .put("zone", member.zone())
                                                .put(
                                                        "state",
                                                        !members.live(now).contains(member.node())
                                                                ? "silent"
                                                                : reports.hearsNobody(
                                                                                member.node(), now)
                                                                        ? "hears no workers"
                                                                        : "takes part");
                                if (Double.isFinite(silent)) {
                                    line.put("heardAgoS", Math.round(10 * silent) / 10.0);
                                }
                            });
            leader.overview().describe(node);
        }
        return node;
    }
}
