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
 * Answers the heartbeats of workers in the role that this controller has at the time: as the
 * leader, as a partition owner with the leader's verdict, or without a reachable leader. Confined
 * to the event loop.
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
    private final WarnOnceLogger logOnce = new WarnOnceLogger();

    /** Creates the handler of a controller that does not lead. */
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
                        logOnce);
        this.forwardedBatches =
                new ForwardedBatchHandler(
                        links, membership, pauseDetector, partitions, leaderRole, logOnce);
    }

    /** This controller leads and has recovered its state. */
    public void leadershipStarted(LeaderHeartbeatReceiver leader) {
        leaderRole.leadershipStarted(leader);
    }

    /** This controller does not lead any more. */
    public void leadershipEnded() {
        leaderRole.leadershipEnded();
    }

    /** Takes a worker's heartbeat; {@code answer} is called once, perhaps later. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        Optional<Heartbeat> parsed = WorkerProtocol.parseHeartbeat(Json.read(request.body()));
        if (parsed.isEmpty()) {
            logOnce.warn("a worker", "sends what is no heartbeat");
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

    /** Takes what a partition owner forwards; {@code answer} is called once. */
    public void handleForwarded(PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer) {
        answer.accept(forwardedBatches.answer(batch, loop.now()));
    }

    /** Which controllers own a partition, as the leader sees them. */
    public PartitionAssignment partitions() {
        return partitions;
    }

    /**
     * To be called often while leading: whether others reach the workers and this controller does
     * not, so that another one should lead.
     */
    public boolean leaderHasReceiveFailure(double now) {
        return leaderRole.hasReceiveFailure(now);
    }

    /** Forgets the misrouted machines that were first seen here before that loop time. */
    public void evictMisroutedBefore(double before) {
        misroutedMachines.evictBefore(before);
    }
}
