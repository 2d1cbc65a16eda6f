package io.pepperfield.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.admission.Admission;
import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Workers;
import io.pepperfield.http.Call;
import io.pepperfield.http.Reply;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.Members;
import io.pepperfield.peer.PartitionOrders;
import io.pepperfield.peer.Peers;
import io.pepperfield.peer.ReportForwarder;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.StateService;
import io.pepperfield.store.Sync;
import io.pepperfield.store.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: every node answers users; the leading one also answers workers and decides. All
 * of it runs on the event loop.
 */
public final class Controller implements Leadership.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    /** Where users ask about jobs. */
    static final String JOBS = "/api/jobs/";

    /** Where workers report. */
    static final String BEAT = "/agent/beat";

    /** Of a report period: three words are missed before a partition is taken from its owner. */
    private static final double LIVE = 0.75;

    private final Loop loop;
    private final Settings settings;
    private final Cloud cloud;
    private final Workers workers;
    private final RateSharing rates;
    private final Peers peers;
    private final ReportForwarder forwarder;
    private final PartitionOrders partitionOrders;
    private final Members members;
    private final ReportHandler reports;
    private final PauseDetector pauseDetector;
    private final LeaseRenewal renewal;
    private final LivenessLog livenessLog;
    private final MachineTypes types;
    private final MachineTypesPoll typesPoll;
    private final Catalog catalog;
    private final Replica replica;
    private final Sync sync;
    private final Leadership leadership;
    private final Writer writer;
    private final UserRequests users;
    private final RequestRouter router;
    private final NodeOverview overview;

    private final StoredVersion storedVersion;

    /** Null where operators have not switched it on. */
    private final Admission admission;

    private final double reportS;
    private final double tickS;

    /** Jobs whose cancellation a user has been told here and the other controllers have not. */
    private final List<String> cancelledHere = new ArrayList<>();

    private Leader leader;
    private double summaryAt;

    /**
     * Creates the controller of one node; {@link #start} begins its work.
     *
     * @param state where all state is kept, as the rollout shows it if there is one
     * @param rollout the rollout of stored-state versions, or null where it is switched off
     */
    public Controller(
            Loop loop,
            Settings settings,
            StateService state,
            Cloud cloud,
            Workers workers,
            Peers peers,
            ReportForwarder forwarder,
            RateSharing.RateLimitSetter rates,
            Rollout rollout) {
        this.storedVersion = new StoredVersion(rollout, settings);
        this.loop = loop;
        this.settings = settings;
        this.cloud = cloud;
        this.workers = workers;
        this.rates = new RateSharing(rates, settings);
        this.peers = peers;
        this.forwarder = forwarder;
        this.partitionOrders = new PartitionOrders(workers, peers, settings);
        this.types = new MachineTypes(settings);
        this.typesPoll =
                new MachineTypesPoll(
                        cloud, types, settings.operators().chargeS(), this::typesReceived);
        Settings.Workers times = settings.deployment().workers();
        this.reportS = times.reportS();
        this.members = new Members(settings.node(), LIVE * reportS);
        this.livenessLog = new LivenessLog(members);
        this.replica = new Replica(this::changed);
        this.sync = new Sync(loop, state, replica, reportS / 2, questionSpacingS(settings));
        // Below a worker's patience of a lease by far, so that a take-over costs no task; above a
        // pause of this process.
        double grantS = Math.min(times.leaseS() / 8, reportS);
        this.leadership = new Leadership(loop, state, settings.node(), grantS, this);
        if (rollout != null) {
            rollout.attach(leadership, this::jobSpec);
        }
        this.tickS = grantS / 20;
        this.catalog = new Catalog(sync::contactAt);
        this.pauseDetector =
                new PauseDetector(
                        loop, grantS, () -> Math.max(sync.contactAt(), forwarder.linkedAt()));
        this.renewal = new LeaseRenewal(times, catalog, sync::contactAt);
        this.reports =
                new ReportHandler(
                        loop,
                        settings,
                        leadership,
                        forwarder,
                        peers,
                        sync,
                        members,
                        renewal,
                        pauseDetector);
        peers.handler(
                new PeerMessageReceiver(
                        storedVersion,
                        pauseDetector,
                        reports,
                        workers,
                        forwarder,
                        this::cancelledElsewhere));
        this.writer = writer(state);
        this.admission =
                settings.operators().enabled(Feature.ADMISSION)
                        ? new Admission(loop, settings, peers, leadership, sync::contactAt)
                        : null;
        this.users = userRequests(state);
        this.overview = new NodeOverview(settings, leadership, sync, members, reports, admission);
        this.router =
                new RequestRouter(
                        loop,
                        users,
                        reports,
                        this::healthy,
                        () ->
                                overview.describe(
                                        leader == null ? null : leader.overview(), loop.now()));
    }

    /**
     * A user waits for a confirmation and a worker for a new job: a twentieth of the rate for each
     * kind of question.
     */
    private static double questionSpacingS(Settings settings) {
        int size = settings.deployment().size();
        return 10.0 * size / settings.deployment().state().rps() / 4;
    }

    private Writer writer(StateService state) {
        return new Writer(
                loop,
                state,
                replica,
                sync,
                new LeadersWrites(),
                storedVersion.limits(),
                reportS / 10,
                2 * reportS);
    }

    private UserRequests userRequests(StateService state) {
        Settings.State service = settings.deployment().state();
        return new UserRequests(
                loop,
                catalog,
                sync,
                state,
                types,
                admission == null ? SubmissionPolicy.UNLIMITED : admission.policy(),
                // Its guards are as many as its changes, so that one for the version has room.
                service.txnOps(),
                service.valueKb(),
                RateSharing.USERS_PART * service.writeRps(),
                questionsAtOnce(settings) / 2,
                storedVersion::linesInRecord,
                cancelledHere::add);
    }

    /** The leadership that guards this node's durable writes. */
    private final class LeadersWrites implements Writer.Lead {

        @Override
        public boolean confirmed() {
            return leader != null && leadership.confirmed();
        }

        @Override
        public StateService.Guard guard() {
            return leadership.guard();
        }
    }

    /**
     * Questions may hold an eighth of the sockets at once; each is answered in about a tenth of a
     * second.
     */
    static int questionsAtOnce(Settings settings) {
        return settings.deployment().quota().sockets() / 8;
    }

    /** Begins to follow the state service, and from then on to stand for the lead. */
    public void start() {
        rates.share(false);
        sync.start();
        tick();
    }

    private void changed(String key, JsonNode data, long stamp) {
        if (key.equals(Keys.LEADER)) {
            leadership.leaderKey(data, stamp);
            if (!leadership.leader().isEmpty()) {
                forwarder.leader(leadership.leader());
            }
            return;
        }
        if (key.startsWith(Keys.ROLLOUT)) {
            storedVersion.changed(key, data, stamp);
            return;
        }
        if (key.equals(Keys.TYPES) && data != null && !types.known()) {
            types.update(TypesRecord.read(data));
        }
        catalog.changed(key, data);
        lighten(key);
        if (key.startsWith(Keys.JOB) || key.startsWith(Keys.END)) {
            tellLeader(key.substring(key.lastIndexOf('/') + 1));
        }
    }

    /** The description of an accepted job, or null. */
    private JobSpec jobSpec(String id) {
        Catalog.Record record = catalog.get(id);
        return record == null ? null : record.spec();
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
     * The catalog keeps descriptions and run records in its own short form, the latter for as long
     * as they say something; of their keys only the stamps are needed.
     */
    private void lighten(String key) {
        if (key.startsWith(Keys.JOB) || key.startsWith(Keys.RUN) || key.startsWith(Keys.SHARED)) {
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
        pauseDetector.stale();
        if (sync.loaded()) {
            storedVersion.tick();
        }
        if (!storedVersion.serves()) {
            leadership.abdicate(
                    StoredVersion.NOT_SERVING, settings.deployment().workers().leaseS());
            return;
        }
        rates.live(liveControllers(), leadership.leading());
        if (sync.loaded()) {
            leadership.replicaLoaded();
        }
        leadership.tick();
        if (leader != null) {
            leader.tick();
        }
        // The tick before may have given the lead away.
        if (leader != null) {
            checkOthers(loop.now());
        }
        tickAdmission();
        peers.tick(loop.now(), sync.contactAt(), leadership.token());
        forwarder.flush();
        double now = loop.now();
        typesPoll.tick(now, leadership.leading());
        if (now - summaryAt >= settings.operators().chargeS()) {
            summaryAt = now;
            logSummary(now);
            reports.forgetStrays(now - settings.operators().chargeS());
        }
    }

    /** Fair admission on this controller, or null where it is switched off. */
    public Admission admission() {
        return admission;
    }

    private void tickAdmission() {
        if (admission == null) {
            return;
        }
        if (leader != null && admission.isDue()) {
            leader.countQueues(admission.queues());
        }
        admission.tick();
    }

    private int liveControllers() {
        double now = loop.now();
        if (leader != null) {
            return members.live(now).size();
        }
        return forwarder.linked(now) ? forwarder.live().size() : settings.deployment().size();
    }

    private void typesReceived() {
        if (leader != null) {
            leader.typesHeard();
        }
    }

    private void logSummary(double now) {
        String line = router.latencySummary();
        if (!line.isEmpty()) {
            LOG.info("answered {}", line);
        }
        if (leader != null) {
            LOG.info("{}, partitions of {}", leader.overview().summary(), reports.owners(now));
        }
    }

    /** At the end of each batch of commands. */
    public void flush() {
        pauseDetector.stale();
        if (!storedVersion.serves()) {
            return;
        }
        if (leader != null) {
            leader.flush();
        }
        forwarder.flush();
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
        rates.share(true);
        writer.reset();
        if (admission != null) {
            admission.elected(token);
        }
        begin(token);
    }

    private void begin(long elected) {
        sync.confirm(current -> confirmed(elected, current));
    }

    /**
     * @param current whether the replica holds everything written before the question
     */
    private void confirmed(long elected, boolean current) {
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
                        new DurableState(
                                replica, catalog, writer, storedVersion.limits(), sync::contactAt),
                        partitionOrders,
                        cloud,
                        types,
                        renewal);
        reports.lead(leader);
        leader.takeOver();
        forwarder.kept(loop.now()).forEach(leader::remembered);
    }

    @Override
    public void renewedToken(long token) {
        if (admission != null) {
            admission.renewedToken(token);
        }
        if (leader != null) {
            leader.renewedToken(token);
        }
    }

    @Override
    public void deposed(String why) {
        rates.share(false);
        if (admission != null) {
            admission.deposed();
        }
        livenessLog.reset();
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
        if (storedVersion.handles(call)) {
            storedVersion.handle(call, answer);
        } else if (storedVersion.serves()) {
            router.handle(call, answer);
        } else {
            answer.accept(Reply.later(StoredVersion.NOT_SERVING));
        }
    }

    /**
     * A node alone without the state service leaves the load balancer; one among many in an outage
     * stays.
     */
    private boolean healthy() {
        return sync.loaded() && peers.contact(loop.now()) != Peers.Contact.LOST_ALONE;
    }

    /** Logs who is silent, and gives the lead to somebody whom the workers reach. */
    private void checkOthers(double now) {
        livenessLog.update(now);
        if (reports.unheard(now)) {
            // Others reach them all: whoever leads next sends its orders directly.
            leadership.abdicate(
                    "no worker reaches this node, and others do",
                    settings.deployment().workers().leaseS());
        }
    }
}
