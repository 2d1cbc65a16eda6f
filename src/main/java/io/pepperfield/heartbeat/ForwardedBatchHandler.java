package io.pepperfield.heartbeat;

import io.pepperfield.health.PauseDetector;
import io.pepperfield.http.HttpReply;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.Membership;
import io.pepperfield.peer.PeerMessages;
import io.pepperfield.peer.PeerMessages.ForwardedHeartbeat;
import io.pepperfield.peer.PeerMessages.HeartbeatBatch;
import io.pepperfield.peer.PeerMessages.LeaderVerdict;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Answers, as the leader, the heartbeats that partition owners forward. */
final class ForwardedBatchHandler {

    private final Leadership leadership;
    private final ReplicaSynchronizer synchronizer;
    private final Membership membership;
    private final PauseDetector pauseDetector;
    private final PartitionAssignment partitions;
    private final LeaderRole leaderRole;
    private final WarnOnceLogger faultLogger;

    ForwardedBatchHandler(
            ClusterLinks links,
            Membership membership,
            PauseDetector pauseDetector,
            PartitionAssignment partitions,
            LeaderRole leaderRole,
            WarnOnceLogger faultLogger) {
        this.leadership = links.leadership();
        this.synchronizer = links.synchronizer();
        this.membership = membership;
        this.pauseDetector = pauseDetector;
        this.partitions = partitions;
        this.leaderRole = leaderRole;
        this.faultLogger = faultLogger;
    }

    /** Returns the reply to a batch, with one verdict for each of its heartbeats. */
    HttpReply answer(HeartbeatBatch batch, double now) {
        if (batch.fencingToken().isNewerThan(leadership.fencingToken()) && leadership.isLeader()) {
            leadership.observeFencingToken(batch.fencingToken());
        }
        if (pauseDetector.updateAndCheckStale()
                || !leadership.isLeader()
                || leaderRole.leader().isEmpty()
                || !leaderRole.mayAnswer(now)) {
            return HttpReply.error(503, "not leading");
        }
        if (!membership.recordMessage(batch.sender(), batch.incarnation(), batch.sequence(), now)) {
            faultLogger.warn(batch.sender(), "message is a duplicate or from an earlier process");
            return HttpReply.error(409, "a message of an earlier process");
        }
        LeaderHeartbeatReceiver leader = leaderRole.leader().get();
        batch.cachedHeartbeats().forEach(leader::restoreCachedHeartbeat);
        batch.directOrderReplies().forEach(leader::directOrderReplyReceived);
        Set<String> owners = partitions.owners(now);
        List<LeaderVerdict> verdicts = new ArrayList<>();
        for (ForwardedHeartbeat heartbeat : batch.heartbeats()) {
            partitions.recordHeartbeat(heartbeat.machine(), owners, batch.sender(), now);
            verdicts.add(leader.acceptForwardedHeartbeat(heartbeat, batch.sender()));
        }
        double storeContactAgeS = now - synchronizer.lastConfirmedAt();
        byte[] body =
                PeerMessages.writeBatchReply(
                        leadership.fencingToken(), storeContactAgeS, owners, verdicts);
        return new HttpReply(200, body, 0);
    }
}
