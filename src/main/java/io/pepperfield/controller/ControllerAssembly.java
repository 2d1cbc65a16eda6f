package io.pepperfield.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.admission.Admission;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.cluster.MachineTypesPoller;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.health.LeaseRenewal;
import io.pepperfield.health.MembershipLog;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.heartbeat.ClusterLinks;
import io.pepperfield.heartbeat.HeartbeatHandler;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.lifecycle.DurableState;
import io.pepperfield.loop.Loop;
import io.pepperfield.overview.ControllerOverview;
import io.pepperfield.overview.LeaderOverview;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.PartitionOrderRouter;
import io.pepperfield.peer.Peers;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Replica;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Creates the parts of one controller and connects them; decides nothing. Parts that need each
 * other are connected through the private methods at the end, which are called once all exist.
 */
final class ControllerAssembly {

    private final Loop loop;
    private final Settings settings;
    private final ExternalSystems external;
    private final ControllerTimings timings;

    private final StoredStateCompatibility compatibility;
    private final RoleRateLimits rateLimits;
    private final PartitionOrderRouter partitionOrders;
    private final MachineTypes machineTypes;
    private final Membership membership;
    private final MembershipLog membershipLog;
    private final Replica replica;
    private final ReplicaSynchronizer synchronizer;
    private final Leadership leadership;
    private final JobIndex jobIndex;
    private final PauseDetector pauseDetector;
    private final LeaseRenewal leaseRenewal;
    private final HeartbeatHandler heartbeatHandler;
    private final CurrentLeader currentLeader;
    private final FencedWriter writer;
    private final Optional<Admission> admission;
    private final CancellationAnnouncer cancellationAnnouncer;
    private final UserRequests userRequests;
    private final RequestRouter router;
    private final LeadershipTransitions transitions;
    private final ReplicaChangeRouter replicaChanges;
    private final BatchFlusher batchFlusher;
    private final ControllerTicker ticker;

    ControllerAssembly(
            Loop loop, Settings settings, ExternalSystems external, Optional<Rollout> rollout) {
        this.loop = loop;
        this.settings = settings;
        this.external = external;
        this.timings = ControllerTimings.of(settings);
        this.compatibility = new StoredStateCompatibility(rollout, settings);
        this.rateLimits = new RoleRateLimits(external.rateLimitSetter(), settings);
        this.partitionOrders =
                new PartitionOrderRouter(external.workers(), external.peers(), settings);
        this.machineTypes = new MachineTypes(settings);
        this.membership = new Membership(settings.node(), timings.livenessS());
        this.membershipLog = new MembershipLog(membership);
        this.replica = new Replica(this::replicaChanged);
        this.synchronizer = createSynchronizer();
        this.leadership =
                new Leadership(
                        loop,
                        external.store(),
                        settings.node(),
                        timings.grantS(),
                        new LateBoundTransitions());
        rollout.ifPresent(present -> present.attach(leadership, this::jobSpec));
        this.jobIndex = new JobIndex(synchronizer::lastConfirmedAt);
        this.pauseDetector = new PauseDetector(loop, timings.grantS(), this::lastAnswerAt);
        this.leaseRenewal =
                new LeaseRenewal(
                        settings.deployment().workerTimings(),
                        jobIndex,
                        synchronizer::lastConfirmedAt);
        this.heartbeatHandler = createHeartbeatHandler();
        this.currentLeader =
                new CurrentLeader(
                        loop,
                        heartbeatHandler,
                        external.heartbeatForwarder(),
                        membershipLog,
                        this::createLeader);
        this.writer = createWriter();
        this.admission = createAdmission();
        this.cancellationAnnouncer = new CancellationAnnouncer(external.peers());
        this.userRequests = createUserRequests();
        this.router = createRouter();
        this.transitions = createTransitions();
        this.replicaChanges = createReplicaChangeRouter();
        this.batchFlusher = createBatchFlusher();
        this.ticker = createTicker();
        external.peers().setHandler(createPeerMessageReceiver());
    }

    private ReplicaSynchronizer createSynchronizer() {
        return new ReplicaSynchronizer(
                loop,
                external.store(),
                replica,
                timings.heartbeatIntervalS() / 2,
                timings.readIntervalS());
    }

    private HeartbeatHandler createHeartbeatHandler() {
        ClusterLinks links =
                new ClusterLinks(
                        leadership, synchronizer, external.heartbeatForwarder(), external.peers());
        return new HeartbeatHandler(loop, settings, links, membership, leaseRenewal, pauseDetector);
    }

    private FencedWriter createWriter() {
        return new FencedWriter(
                loop,
                external.store(),
                replica,
                synchronizer,
                new LeaderFence(leadership, currentLeader),
                compatibility.limits(),
                timings.heartbeatIntervalS() / 10,
                2 * timings.heartbeatIntervalS());
    }

    private Optional<Admission> createAdmission() {
        if (!settings.operators().isEnabled(Feature.ADMISSION)) {
            return Optional.empty();
        }
        return Optional.of(
                new Admission(
                        loop,
                        settings,
                        external.peers(),
                        leadership,
                        synchronizer::lastConfirmedAt));
    }

    private UserRequests createUserRequests() {
        Settings.StoreLimits limits = settings.deployment().storeLimits();
        return new UserRequests(
                loop,
                jobIndex,
                synchronizer,
                external.store(),
                machineTypes,
                admission.map(Admission::submissionPolicy).orElse(SubmissionPolicy.UNLIMITED),
                new UserRequests.Limits(
                        limits.maxTransactionOps(),
                        limits.maxValueKib(),
                        RoleRateLimits.USER_WRITE_SHARE * limits.writesPerS(),
                        Controller.maxConcurrentQueries(settings) / 2,
                        compatibility::tasksPerRunRecord),
                cancellationAnnouncer::add);
    }

    private RequestRouter createRouter() {
        ControllerOverview overview =
                new ControllerOverview(
                        settings,
                        leadership,
                        synchronizer,
                        membership,
                        heartbeatHandler.partitions(),
                        admission);
        HealthCheck healthCheck = new HealthCheck(loop, synchronizer, external.peers());
        return new RequestRouter(
                loop,
                userRequests,
                heartbeatHandler,
                healthCheck::isHealthy,
                () -> overview.describe(leaderOverview(), loop.now()));
    }

    private LeadershipTransitions createTransitions() {
        return new LeadershipTransitions(
                loop,
                timings.tickS(),
                leadership,
                synchronizer,
                rateLimits,
                writer,
                admission,
                currentLeader);
    }

    private ReplicaChangeRouter createReplicaChangeRouter() {
        return new ReplicaChangeRouter(
                replica,
                compatibility,
                leadership,
                external.heartbeatForwarder(),
                machineTypes,
                jobIndex,
                currentLeader);
    }

    private PeerMessageReceiver createPeerMessageReceiver() {
        return new PeerMessageReceiver(
                compatibility,
                pauseDetector,
                heartbeatHandler,
                external.workers(),
                external.heartbeatForwarder(),
                replicaChanges::cancelledByPeer);
    }

    private BatchFlusher createBatchFlusher() {
        return new BatchFlusher(
                pauseDetector,
                compatibility,
                currentLeader,
                external.heartbeatForwarder(),
                userRequests,
                cancellationAnnouncer);
    }

    private ControllerTicker createTicker() {
        return new ControllerTicker(
                loop,
                settings,
                pauseDetector,
                synchronizer,
                compatibility,
                leadership,
                createDuties());
    }

    /** The periodic duties, in the order in which they are run. */
    private List<Runnable> createDuties() {
        HeartbeatForwarder forwarder = external.heartbeatForwarder();
        Peers peers = external.peers();
        LiveControllerCount liveControllers =
                new LiveControllerCount(loop, settings, membership, forwarder, currentLeader);
        LeaderSupervisor supervisor =
                new LeaderSupervisor(
                        loop,
                        synchronizer,
                        leadership,
                        currentLeader,
                        membershipLog,
                        heartbeatHandler,
                        settings.deployment().workerTimings().leaseS());
        MachineTypesPoller machineTypesPoller =
                new MachineTypesPoller(
                        external.cloud(),
                        machineTypes,
                        settings.operators().billingUnitS(),
                        this::machineTypesReceived);
        SummaryLog summaryLog =
                new SummaryLog(
                        loop,
                        settings.operators().billingUnitS(),
                        router,
                        currentLeader,
                        heartbeatHandler);
        List<Runnable> duties = new ArrayList<>();
        duties.add(
                () ->
                        rateLimits.setLiveControllers(
                                liveControllers.estimate(), leadership.isLeader()));
        duties.add(supervisor::tick);
        admission.ifPresent(present -> duties.add(new AdmissionDuty(present, currentLeader)::tick));
        duties.add(
                () ->
                        peers.tick(
                                loop.now(),
                                synchronizer.lastConfirmedAt(),
                                leadership.fencingToken()));
        duties.add(forwarder::flush);
        duties.add(() -> machineTypesPoller.tick(loop.now(), leadership.isLeader()));
        duties.add(summaryLog::tick);
        return duties;
    }

    /** The leader of a leadership that begins; called once the replica is current. */
    private Leader createLeader() {
        DurableState durable =
                new DurableState(
                        replica,
                        jobIndex,
                        writer,
                        compatibility.limits(),
                        synchronizer::lastConfirmedAt);
        return new Leader(
                loop,
                settings,
                leadership,
                durable,
                partitionOrders,
                external.cloud(),
                machineTypes,
                leaseRenewal);
    }

    // ---- connections between parts of which one is created before the other

    private void replicaChanged(String key, JsonNode value, long modRevision) {
        replicaChanges.changed(key, value, modRevision);
    }

    /** The specification of an accepted job, or null. */
    private JobSpec jobSpec(String id) {
        JobRecord job = jobIndex.get(id);
        return job == null ? null : job.spec();
    }

    private double lastAnswerAt() {
        return Math.max(
                synchronizer.lastConfirmedAt(), external.heartbeatForwarder().leaderAnsweredAt());
    }

    private void machineTypesReceived() {
        currentLeader.get().ifPresent(Leader::machineTypesReceived);
    }

    private Optional<LeaderOverview> leaderOverview() {
        return currentLeader.get().map(Leader::overview);
    }

    /** Listens to the leadership, which is created before what changes with it. */
    private final class LateBoundTransitions implements Leadership.Listener {
        @Override
        public void elected(FencingToken token) {
            transitions.elected(token);
        }

        @Override
        public void fencingTokenRenewed(FencingToken token) {
            transitions.fencingTokenRenewed(token);
        }

        @Override
        public void leadershipLost(String why) {
            transitions.leadershipLost(why);
        }
    }

    // ---- the parts that the controller itself calls

    StoredStateCompatibility compatibility() {
        return compatibility;
    }

    RoleRateLimits rateLimits() {
        return rateLimits;
    }

    ReplicaSynchronizer synchronizer() {
        return synchronizer;
    }

    Leadership leadership() {
        return leadership;
    }

    Optional<Admission> admission() {
        return admission;
    }

    RequestRouter router() {
        return router;
    }

    BatchFlusher batchFlusher() {
        return batchFlusher;
    }

    ControllerTicker ticker() {
        return ticker;
    }
}
