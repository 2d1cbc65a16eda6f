package io.pepperfield.heartbeat;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.health.PauseDetector;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.PeerMessages;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Answers the heartbeats of workers according to this controller's current role: as the leader, as
 * a partition owner with the leader's verdict, or without a reachable leader. Confined to the event
 * loop.
 */
public final class HeartbeatHandler {

    private final Loop loop;
    private final Leadership leadership;
    private final PauseDetector pauseDetector;
    private final IsolationDetector isolation;
    private final PartitionAssignment partitions;
    private final MisroutedMachines misroutedMachines;
    private final LeaderRole leaderRole;
    private final PartitionOwnerRole partitionOwnerRole;
    private final LeaderlessRole leaderlessRole;
    private final ForwardedBatchHandler forwardedBatches;
    private final WarnOnceLogger faultLogger = new WarnOnceLogger();

    /** Creates the handler; the controller does not lead initially. */
    public HeartbeatHandler(
            Loop loop,
            Settings settings,
            ClusterLinks links,
            Membership membership,
            LeaseRenewalPolicy leaseRenewal,
            PauseDetector pauseDetector) {
        this.loop = loop;
        this.leadership = links.leadership();
        this.pauseDetector = pauseDetector;
        this.isolation = new IsolationDetector(settings, links);
        this.partitions = new PartitionAssignment(settings, membership);
        this.misroutedMachines =
                new MisroutedMachines(
                        settings.node(),
                        settings.deployment().workerTimings().heartbeatIntervalS());
        this.leaderlessRole = new LeaderlessRole(loop, links, leaseRenewal, isolation);
        this.partitionOwnerRole =
                new PartitionOwnerRole(
                        links.forwarder(), pauseDetector, misroutedMachines, leaderlessRole);
        this.leaderRole =
                new LeaderRole(
                        links,
                        leaseRenewal,
                        isolation,
                        partitions,
                        misroutedMachines,
                        leaderlessRole,
                        faultLogger);
        this.forwardedBatches =
                new ForwardedBatchHandler(
                        links, membership, pauseDetector, partitions, leaderRole, faultLogger);
    }

    /** Called when this controller has become the leader. */
    public void leadershipStarted(LeaderHeartbeatReceiver leader) {
        leaderRole.leadershipStarted(leader);
    }

    /** Called when this controller is no longer the leader. */
    public void leadershipEnded() {
        leaderRole.leadershipEnded();
    }

    /** Handles a worker's heartbeat; {@code answer} is called once, possibly later. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        Optional<Heartbeat> parsed = WorkerProtocol.parseHeartbeat(Json.read(request.body()));
        if (parsed.isEmpty()) {
            faultLogger.warn("a worker", "request body is not a valid heartbeat");
            answer.accept(HeartbeatVerdict.Refused.MALFORMED.toReply());
            return;
        }
        Heartbeat heartbeat = parsed.get();
        double now = loop.now();
        isolation.recordHeartbeat(heartbeat.zone());
        if (pauseDetector.updateAndCheckStale()) {
            answer.accept(HeartbeatVerdict.Refused.PROCESS_PAUSED.toReply());
        } else if (leadership.isLeader()) {
            answer.accept(leaderRole.answer(heartbeat, request.body(), now).toReply());
        } else if (partitionOwnerRole.isActive(now)) {
            partitionOwnerRole.answer(
                    heartbeat, request.body(), now, verdict -> answer.accept(verdict.toReply()));
        } else {
            answer.accept(leaderlessRole.answer(heartbeat, now).toReply());
        }
    }

    /** Handles a batch forwarded by a partition owner; {@code answer} is called once. */
    public void handleForwarded(PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer) {
        answer.accept(forwardedBatches.answer(batch, loop.now()));
    }

    /** The leader's assignment of partitions to controllers. */
    public PartitionAssignment partitions() {
        return partitions;
    }

    /**
     * Whether heartbeats of this leader's partition reach other controllers only, so that another
     * controller should lead. Called on every tick while leading, since it updates the detection.
     */
    public boolean leaderHasReceiveFailure(double now) {
        return leaderRole.hasReceiveFailure(now);
    }

    /** Evicts the misrouted machines that were first seen here before the given loop time. */
    public void evictMisroutedBefore(double time) {
        misroutedMachines.evictBefore(time);
    }
}
