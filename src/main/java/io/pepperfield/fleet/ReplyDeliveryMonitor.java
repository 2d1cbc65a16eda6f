package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects that replies to heartbeats do not reach a machine (a one-way partition). The arrival of
 * heartbeats does not prove that replies are delivered: the heartbeat after a reply must report the
 * fencing token of the reply and the attempts that it ordered to run.
 */
final class ReplyDeliveryMonitor {

    private final List<Attempt> orderedToRun = new ArrayList<>();
    private FencingToken lastRepliedToken = FencingToken.NONE;

    /** Loop time in seconds of the first sign that replies do not arrive; NaN while they do. */
    private double receiveFailureSince = Double.NaN;

    boolean hasReceiveFailure() {
        return !Double.isNaN(receiveFailureSince);
    }

    double receiveFailureFor(double now) {
        return now - receiveFailureSince;
    }

    /** Records a response of the machine to a direct message. */
    void recordDirectResponse() {
        receiveFailureSince = Double.NaN;
    }

    /** Records that the reply to the last heartbeat contains a run order for this attempt. */
    void recordRunOrder(Attempt attempt) {
        orderedToRun.add(attempt);
    }

    /** Records that the last heartbeat was answered with this fencing token. */
    void recordReply(FencingToken token) {
        lastRepliedToken = token;
    }

    /**
     * Records a heartbeat and checks whether the last reply has arrived. An incarnation that ended
     * although its heartbeats were answered shows that the replies do not arrive.
     *
     * @param restarted whether this is the first heartbeat of a new incarnation on a ready machine
     * @param tokenBefore the newest fencing token that the machine had reported before
     */
    void recordHeartbeat(
            Heartbeat heartbeat, boolean restarted, FencingToken tokenBefore, double now) {
        boolean replyReceived = heartbeat.fencingToken().isNewerThan(tokenBefore);
        boolean replyMissed = restarted || heartbeat.fencingToken().isOlderThan(lastRepliedToken);
        for (Attempt attempt : orderedToRun) {
            replyReceived |= attempt.phase != Attempt.Phase.ORDERED;
            replyMissed |= attempt.phase == Attempt.Phase.ORDERED && !attempt.stopRequested;
        }
        orderedToRun.clear();
        if (replyReceived && !restarted) {
            receiveFailureSince = Double.NaN;
        } else if (replyMissed && !hasReceiveFailure()) {
            receiveFailureSince = now;
        }
    }
}
