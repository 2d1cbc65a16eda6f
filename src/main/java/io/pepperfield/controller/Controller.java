package io.pepperfield.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.admission.Admission;
import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.cloud.MachineTypesRecord;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.cluster.MachineTypesPoller;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.health.LeaseRenewal;
import io.pepperfield.health.MembershipLog;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.heartbeat.ClusterLinks;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.lifecycle.DurableState;
import io.pepperfield.loop.Loop;
import io.pepperfield.overview.ControllerOverview;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.PartitionOrderRouter;
import io.pepperfield.peer.Peers;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.ReplicaSynchronizer;
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
    static final String JOBS_PATH = "/api/jobs/";

    /** Where workers report. */
    static final String HEARTBEAT_PATH = "/agent/beat";

    /** Of a report period: three words are missed before a partition is taken from its owner. */
    private static final double LIVENESS_INTERVALS = 0.75;

    private final Loop loop;
    private final Settings settings;
    private final CloudProvider cloud;
    private final WorkerClient workers;
    private final RoleRateLimits rateLimits;
    private final Peers peers;
    private final HeartbeatForwarder heartbeatForwarder;
    private final PartitionOrderRouter partitionOrders;
    private final Membership membership;
    private final HeartbeatHandler heartbeatHandler;
    private final PauseDetector pauseDetector;
    private final LeaseRenewal leaseRenewal;
    private final MembershipLog membershipLog;
    private final MachineTypes machineTypes;
    private final MachineTypesPoller machineTypesPoll;
    private final JobIndex jobIndex;
    private final Replica replica;
    private final ReplicaSynchronizer synchronizer;
    private final Leadership leadership;
    private final FencedWriter writer;
    private final UserRequests users;
    private final RequestRouter router;
    private final ControllerOverview overview;

    private final StoredStateCompatibility storedStateCompatibility;

    /** Null where operators have not switched it on. */
    private final Admission admission;

    private final double heartbeatIntervalS;
    private final double tickS;

    /** Jobs whose cancellation a user has been told here and the other controllers have not. */
    private final List<String> locallyCancelled = new ArrayList<>();

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
            KeyValueStore state,
            CloudProvider cloud,
            WorkerClient workers,
            Peers peers,
            HeartbeatForwarder forwarder,
            RoleRateLimits.RateLimitSetter rates,
            Rollout rollout) {
        this.storedStateCompatibility = new StoredStateCompatibility(rollout, settings);
        this.loop = loop;
        this.settings = settings;
        this.cloud = cloud;
        this.workers = workers;
        this.rateLimits = new RoleRateLimits(rates, settings);
        this.peers = peers;
        this.heartbeatForwarder = forwarder;
        this.partitionOrders = new PartitionOrderRouter(workers, peers, settings);
        this.machineTypes = new MachineTypes(settings);
        this.machineTypesPoll =
                new MachineTypesPoller(
                        cloud,
                        machineTypes,
                        settings.operators().billingUnitS(),
                        this::machineTypesReceived);
        Settings.WorkerTimings times = settings.deployment().workerTimings();
        this.heartbeatIntervalS = times.heartbeatIntervalS();
        this.membership = new Membership(settings.node(), LIVENESS_INTERVALS * heartbeatIntervalS);
        this.membershipLog = new MembershipLog(membership);
        this.replica = new Replica(this::replicaChanged);
        this.synchronizer =
                new ReplicaSynchronizer(
                        loop, state, replica, heartbeatIntervalS / 2, readIntervalS(settings));
        // Below a worker's patience of a lease by far, so that a take-over costs no task; above a
        // pause of this process.
        double grantS = Math.min(times.leaseS() / 8, heartbeatIntervalS);
        this.leadership = new Leadership(loop, state, settings.node(), grantS, this);
        if (rollout != null) {
            rollout.attach(leadership, this::jobSpec);
        }
        this.tickS = grantS / 20;
        this.jobIndex = new JobIndex(synchronizer::lastConfirmedAt);
        this.pauseDetector =
                new PauseDetector(
                        loop,
                        grantS,
                        () ->
                                Math.max(
                                        synchronizer.lastConfirmedAt(),
                                        forwarder.leaderAnsweredAt()));
        this.leaseRenewal = new LeaseRenewal(times, jobIndex, synchronizer::lastConfirmedAt);
        this.heartbeatHandler =
                new HeartbeatHandler(
                        loop,
                        settings,
                        new ClusterLinks(leadership, synchronizer, forwarder, peers),
                        membership,
                        leaseRenewal,
                        pauseDetector);
        peers.setHandler(
                new PeerMessageReceiver(
                        storedStateCompatibility,
                        pauseDetector,
                        heartbeatHandler,
                        workers,
                        forwarder,
                        this::cancelledByPeer));
        this.writer = writer(state);
        this.admission =
                settings.operators().isEnabled(Feature.ADMISSION)
                        ? new Admission(
                                loop, settings, peers, leadership, synchronizer::lastConfirmedAt)
                        : null;
        this.users = userRequests(state);
        this.overview =
                new ControllerOverview(
                        settings,
                        leadership,
                        synchronizer,
                        membership,
                        heartbeatHandler.partitions(),
                        admission);
        this.router =
                new RequestRouter(
                        loop,
                        users,
                        heartbeatHandler,
                        this::healthy,
                        () ->
                                overview.describe(
                                        leader == null ? null : leader.overview(), loop.now()));
    }

    /**
     * A user waits for a confirmation and a worker for a new job: a twentieth of the rate for each
     * kind of question.
     */
    private static double readIntervalS(Settings settings) {
        int size = settings.deployment().controllerCount();
        return 10.0 * size / settings.deployment().storeLimits().requestsPerS() / 4;
    }

    private FencedWriter writer(KeyValueStore state) {
        return new FencedWriter(
                loop,
                state,
                replica,
                synchronizer,
                new LeaderFence(),
                storedStateCompatibility.limits(),
                heartbeatIntervalS / 10,
                2 * heartbeatIntervalS);
    }

    private UserRequests userRequests(KeyValueStore state) {
        Settings.StoreLimits service = settings.deployment().storeLimits();
        return new UserRequests(
                loop,
                jobIndex,
                synchronizer,
                state,
                machineTypes,
                admission == null ? SubmissionPolicy.UNLIMITED : admission.policy(),
                // Its guards are as many as its changes, so that one for the version has room.
                service.maxTransactionOps(),
                service.maxValueKib(),
                RoleRateLimits.USER_WRITE_SHARE * service.writesPerS(),
                maxConcurrentQueries(settings) / 2,
                storedStateCompatibility::tasksPerRunRecord,
                locallyCancelled::add);
    }

    /** The leadership that guards this node's durable writes. */
    private final class LeaderFence implements FencedWriter.Fence {

        @Override
        public boolean holdsValidLease() {
            return leader != null && leadership.holdsValidLease();
        }

        @Override
        public KeyValueStore.Precondition fencingPrecondition() {
            return leadership.fencingPrecondition();
        }
    }

    /**
     * Questions may hold an eighth of the sockets at once; each is answered in about a tenth of a
     * second.
     */
    static int maxConcurrentQueries(Settings settings) {
        return settings.deployment().processQuota().maxSockets() / 8;
    }

    /** Begins to follow the state service, and from then on to stand for the lead. */
    public void start() {
        rateLimits.applyForRole(false);
        synchronizer.start();
        tick();
    }

    private void replicaChanged(String key, JsonNode data, long stamp) {
        if (key.equals(Keys.LEADER)) {
            leadership.leaderKeyChanged(data, stamp);
            if (!leadership.leaderNode().isEmpty()) {
                heartbeatForwarder.leaderChanged(leadership.leaderNode());
            }
            return;
        }
        if (key.startsWith(Keys.ROLLOUT_PREFIX)) {
            storedStateCompatibility.replicaChanged(key, data, stamp);
            return;
        }
        if (key.equals(Keys.MACHINE_TYPES) && data != null && !machineTypes.known()) {
            machineTypes.update(MachineTypesRecord.decode(data));
        }
        jobIndex.changed(key, data);
        compactReplica(key);
        if (key.startsWith(Keys.JOB_PREFIX) || key.startsWith(Keys.FINAL_STATE_PREFIX)) {
            notifyLeader(key.substring(key.lastIndexOf('/') + 1));
        }
    }

    /** The description of an accepted job, or null. */
    private JobSpec jobSpec(String id) {
        JobIndex.JobRecord record = jobIndex.get(id);
        return record == null ? null : record.spec();
    }

    /** What has changed about a job, and about those that need it. */
    private void notifyLeader(String id) {
        List<String> affected = jobIndex.drainAffectedJobs();
        if (leader != null) {
            leader.jobChanged(id);
            affected.forEach(leader::jobChanged);
        }
    }

    /**
     * The catalog keeps descriptions and run records in its own short form, the latter for as long
     * as they say something; of their keys only the stamps are needed.
     */
    private void compactReplica(String key) {
        if (key.startsWith(Keys.JOB_PREFIX)
                || key.startsWith(Keys.RUN_RECORD_PREFIX)
                || key.startsWith(Keys.SHARED_RUN_RECORD_PREFIX)) {
            replica.compact(key);
        }
    }

    /**
     * Another controller has told a user so, and thus it is durable: to be acted on before the
     * state service can be asked.
     */
    private void cancelledByPeer(String id) {
        jobIndex.changed(
                Keys.FINAL_STATE_PREFIX + id, JobMessages.encodeFinalStatus(Status.CANCELLED));
        notifyLeader(id);
    }

    private void tick() {
        loop.after(tickS, this::tick);
        pauseDetector.checkStale();
        if (synchronizer.loaded()) {
            storedStateCompatibility.tick();
        }
        if (!storedStateCompatibility.mayServe()) {
            leadership.stepDown(
                    StoredStateCompatibility.NOT_SERVING,
                    settings.deployment().workerTimings().leaseS());
            return;
        }
        rateLimits.liveControllers(liveControllers(), leadership.isLeader());
        if (synchronizer.loaded()) {
            leadership.replicaLoaded();
        }
        leadership.tick();
        if (leader != null) {
            leader.tick();
        }
        // The tick before may have given the lead away.
        if (leader != null) {
            checkMembership(loop.now());
        }
        tickAdmission();
        peers.tick(loop.now(), synchronizer.lastConfirmedAt(), leadership.fencingToken());
        heartbeatForwarder.flush();
        double now = loop.now();
        machineTypesPoll.tick(now, leadership.isLeader());
        if (now - summaryAt >= settings.operators().billingUnitS()) {
            summaryAt = now;
            logSummary(now);
            heartbeatHandler.forgetMisrouted(now - settings.operators().billingUnitS());
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
            leader.countQueuedTasks(admission.queueWaitPredictor());
        }
        admission.tick();
    }

    private int liveControllers() {
        double now = loop.now();
        if (leader != null) {
            return membership.liveMembers(now).size();
        }
        return heartbeatForwarder.leaderReachable(now)
                ? heartbeatForwarder.partitionOwners().size()
                : settings.deployment().controllerCount();
    }

    private void machineTypesReceived() {
        if (leader != null) {
            leader.machineTypesReceived();
        }
    }

    private void logSummary(double now) {
        String line = router.latencySummary();
        if (!line.isEmpty()) {
            LOG.info("answered {}", line);
        }
        if (leader != null) {
            LOG.info(
                    "{}, partitions of {}",
                    leader.overview().summary(),
                    heartbeatHandler.partitions().owners(now));
        }
    }

    /** At the end of each batch of commands. */
    public void flush() {
        pauseDetector.checkStale();
        if (!storedStateCompatibility.mayServe()) {
            return;
        }
        if (leader != null) {
            leader.flush();
        }
        heartbeatForwarder.flush();
        users.flush();
        if (!locallyCancelled.isEmpty()) {
            peers.announceCancelled(locallyCancelled);
            locallyCancelled.clear();
        }
    }

    /**
     * A command threw: books that may be half-written are dropped, and whoever leads next reads the
     * durable ones.
     */
    public void commandFailed() {
        leadership.stepDown("an internal error", heartbeatIntervalS);
    }

    // ---- leadership

    @Override
    public void elected(FencingToken token) {
        rateLimits.applyForRole(true);
        writer.reset();
        if (admission != null) {
            admission.elected(token);
        }
        confirmReplica(token);
    }

    private void confirmReplica(FencingToken elected) {
        synchronizer.awaitReadIndex(current -> replicaConfirmed(elected, current));
    }

    /**
     * @param current whether the replica holds everything written before the question
     */
    private void replicaConfirmed(FencingToken elected, boolean current) {
        if (leadership.fencingToken().isOlderThan(elected) || leader != null) {
            return;
        }
        if (!current) {
            loop.after(tickS, () -> confirmReplica(elected));
            return;
        }
        leader =
                new Leader(
                        loop,
                        settings,
                        leadership,
                        new DurableState(
                                replica,
                                jobIndex,
                                writer,
                                storedStateCompatibility.limits(),
                                synchronizer::lastConfirmedAt),
                        partitionOrders,
                        cloud,
                        machineTypes,
                        leaseRenewal);
        heartbeatHandler.leadershipBegins(leader.heartbeats());
        leader.recoverState();
        heartbeatForwarder
                .cachedHeartbeats(loop.now())
                .forEach(leader.heartbeats()::restoreCachedHeartbeat);
    }

    @Override
    public void fencingTokenRenewed(FencingToken token) {
        if (admission != null) {
            admission.fencingTokenRenewed(token);
        }
        if (leader != null) {
            leader.fencingTokenRenewed(token);
        }
    }

    @Override
    public void leadershipLost(String why) {
        rateLimits.applyForRole(false);
        if (admission != null) {
            admission.deposed();
        }
        membershipLog.reset();
        if (leader != null) {
            leader.stop();
            leader = null;
            heartbeatHandler.leadershipEnds();
        }
        writer.reset();
    }

    // ---- requests

    /** Takes a request of a user, a worker or the load balancer. */
    public void handle(InboundRequest call, Consumer<HttpReply> answer) {
        if (storedStateCompatibility.handles(call)) {
            storedStateCompatibility.handle(call, answer);
        } else if (storedStateCompatibility.mayServe()) {
            router.handle(call, answer);
        } else {
            answer.accept(HttpReply.unavailable(StoredStateCompatibility.NOT_SERVING));
        }
    }

    /**
     * A node alone without the state service leaves the load balancer; one among many in an outage
     * stays.
     */
    private boolean healthy() {
        return synchronizer.loaded()
                && peers.stateContact(loop.now()) != Peers.StateContact.ISOLATED;
    }

    /** Logs who is silent, and gives the lead to somebody whom the workers reach. */
    private void checkMembership(double now) {
        membershipLog.update(now);
        if (heartbeatHandler.leaderHasReceiveFailure(now)) {
            // Others reach them all: whoever leads next sends its orders directly.
            leadership.stepDown(
                    "no worker reaches this node, and others do",
                    settings.deployment().workerTimings().leaseS());
        }
    }
}
