package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects that replies to heartbeats do not reach one machine (a one-way partition). That
 * heartbeats arrive does not prove it: the next one should show the token of the reply and its run
 * orders.
 */
final class ReplyDeliveryMonitor {

    private final List<Attempt> orderedToRun = new ArrayList<>();
    private FencingToken lastRepliedToken = FencingToken.NONE;

    /** Loop time since which nothing shows that replies and orders arrive, NaN while they do. */
    private double receiveFailureSince = Double.NaN;

    boolean hasReceiveFailure() {
        return !Double.isNaN(receiveFailureSince);
    }

    double receiveFailureFor(double now) {
        return now - receiveFailureSince;
    }

    /** The machine has answered a direct message. */
    void recordDirectResponse() {
        receiveFailureSince = Double.NaN;
    }

    /** The reply to its last heartbeat carries a run order for this attempt. */
    void recordRunOrder(Attempt attempt) {
        orderedToRun.add(attempt);
    }

    /** Its last heartbeat has been replied to with this token. */
    void recordReply(FencingToken token) {
        lastRepliedToken = token;
    }

    /**
     * A heartbeat came after the last reply. An incarnation that ended although its heartbeats were
     * replied to shows that the replies do not arrive.
     *
     * @param restarted whether it is the first of a new incarnation on a machine that was ready
     * @param tokenBefore the newest token that the machine had shown before
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
