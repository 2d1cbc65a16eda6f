package io.pepperfield.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.admission.Admission;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.cluster.MachineTypesPoller;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.health.MembershipChangeLogger;
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
 * Creates the components of one controller and connects them; contains no scheduling logic.
 * Components that depend on each other are connected through the callback methods below, which are
 * called only after all components exist.
 */
final class ControllerAssembly {

    private final Loop loop;
    private final Settings settings;
    private final ExternalSystems external;
    private final ControllerTimings timings;

    private final StoredStateCompatibility compatibility;
    private final RoleRateLimits rateLimits;
    private final PartitionOrderRouter partitionOrderRouter;
    private final MachineTypes machineTypes;
    private final Membership membership;
    private final MembershipChangeLogger membershipLog;
    private final Replica replica;
    private final ReplicaSynchronizer synchronizer;
    private final Leadership leadership;
    private final JobIndex jobIndex;
    private final PauseDetector pauseDetector;
    private final LeaseRenewalPolicy leaseRenewal;
    private final HeartbeatHandler heartbeatHandler;
    private final CurrentLeader currentLeader;
    private final FencedWriter writer;
    private final Optional<Admission> admission;
    private final CancellationAnnouncer cancellationAnnouncer;
    private final UserRequests userRequests;
    private final RequestRouter router;
    private final LeadershipTransitions transitions;
    private final ReplicaChangeRouter replicaChangeRouter;
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
        this.partitionOrderRouter =
                new PartitionOrderRouter(external.workers(), external.peers(), settings);
        this.machineTypes = new MachineTypes(settings);
        this.membership = new Membership(settings.node(), timings.livenessTimeoutS());
        this.membershipLog = new MembershipChangeLogger(membership);
        this.replica = new Replica(this::replicaChanged);
        this.synchronizer = createSynchronizer();
        this.leadership =
                new Leadership(
                        loop,
                        external.store(),
                        settings.node(),
                        timings.grantTtlS(),
                        new LateBoundTransitions());
        rollout.ifPresent(enabled -> enabled.attach(leadership, this::jobSpec));
        this.jobIndex = new JobIndex(synchronizer::lastConfirmedAt);
        this.pauseDetector =
                new PauseDetector(loop, timings.grantTtlS(), this::lastAnsweredRequestSentAt);
        this.leaseRenewal =
                new LeaseRenewalPolicy(
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
        this.replicaChangeRouter = createReplicaChangeRouter();
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
                compatibility.transactionLimits(),
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
                replicaChangeRouter::cancelledByPeer);
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
                createPeriodicTasks());
    }

    /** Returns the periodic tasks in the order in which they run. */
    private List<Runnable> createPeriodicTasks() {
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
        List<Runnable> tasks = new ArrayList<>();
        tasks.add(
                () ->
                        rateLimits.setLiveControllers(
                                liveControllers.estimate(), leadership.isLeader()));
        tasks.add(supervisor::tick);
        admission.ifPresent(
                enabled -> tasks.add(new AdmissionTicker(enabled, currentLeader)::tick));
        tasks.add(
                () ->
                        peers.tick(
                                loop.now(),
                                synchronizer.lastConfirmedAt(),
                                leadership.fencingToken()));
        tasks.add(forwarder::flush);
        tasks.add(() -> machineTypesPoller.tick(loop.now(), leadership.isLeader()));
        tasks.add(summaryLog::tick);
        return tasks;
    }

    /** Creates the leader of a new leadership term; called once the replica is current. */
    private Leader createLeader() {
        DurableState durable =
                new DurableState(
                        replica,
                        jobIndex,
                        writer,
                        compatibility.transactionLimits(),
                        synchronizer::lastConfirmedAt);
        return new Leader(
                loop,
                settings,
                leadership,
                durable,
                partitionOrderRouter,
                external.cloud(),
                machineTypes,
                leaseRenewal);
    }

    // ---- callbacks between components of which one is created before the other

    private void replicaChanged(String key, JsonNode value, long modRevision) {
        replicaChangeRouter.changed(key, value, modRevision);
    }

    /** Returns the specification of an accepted job, or null if the job is unknown. */
    private JobSpec jobSpec(String id) {
        JobRecord job = jobIndex.get(id);
        return job == null ? null : job.spec();
    }

    /** Returns the latest send time of a request that the store or the leader has answered. */
    private double lastAnsweredRequestSentAt() {
        return Math.max(
                synchronizer.lastConfirmedAt(), external.heartbeatForwarder().leaderAnsweredAt());
    }

    private void machineTypesReceived() {
        currentLeader.get().ifPresent(Leader::machineTypesReceived);
    }

    private Optional<LeaderOverview> leaderOverview() {
        return currentLeader.get().map(Leader::overview);
    }

    /**
     * Forwards leadership changes to {@link LeadershipTransitions}, which is created after the
     * leadership.
     */
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
        public void leadershipLost(String reason) {
            transitions.leadershipLost(reason);
        }
    }

    // ---- components that the controller calls directly

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

    CurrentLeader currentLeader() {
        return currentLeader;
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
