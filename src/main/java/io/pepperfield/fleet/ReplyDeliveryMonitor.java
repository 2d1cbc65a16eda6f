package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether answers to its reports reach one machine. That reports arrive says nothing of it: the
 * next one should show the token of the answer and the run orders in it.
 */
final class ReplyDeliveryMonitor {

    private final List<Attempt> offered = new ArrayList<>();
    private FencingToken lastRepliedToken = FencingToken.NONE;

    /** Loop time since which nothing shows that answers and orders arrive, NaN while they do. */
    private double receiveFailureSince = Double.NaN;

    boolean hasReceiveFailure() {
        return !Double.isNaN(receiveFailureSince);
    }

    double receiveFailureFor(double now) {
        return now - receiveFailureSince;
    }

    /** The machine has answered something that was sent to it. */
    void directMessageAnswered() {
        receiveFailureSince = Double.NaN;
    }

    /** The answer to its last report carries this run order. */
    void offered(Attempt attempt) {
        offered.add(attempt);
    }

    /** Its last report has been answered with this token. */
    void replySent(FencingToken token) {
        lastRepliedToken = token;
    }

    /**
     * A report came after the last answer. A session that ended although its reports were answered
     * says that they do not arrive.
     *
     * @param newSession the report begins a new session of a machine that was up
     * @param tokenBefore the highest token it had shown before
     */
    void heartbeatReceived(
            Heartbeat report, boolean newSession, FencingToken tokenBefore, double now) {
        boolean heeded = report.fencingToken().isNewerThan(tokenBefore);
        boolean missed = newSession || report.fencingToken().isOlderThan(lastRepliedToken);
        for (Attempt attempt : offered) {
            heeded |= attempt.phase != Attempt.Phase.ORDERED;
            missed |= attempt.phase == Attempt.Phase.ORDERED && !attempt.stopRequested;
        }
        offered.clear();
        if (heeded && !newSession) {
            receiveFailureSince = Double.NaN;
        } else if (missed && !hasReceiveFailure()) {
            receiveFailureSince = now;
        }
    }
}
