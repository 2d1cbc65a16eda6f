package io.pepperfield.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether answers to its reports reach one machine. That reports arrive says nothing of it: the
 * next one should show the token of the answer and the run orders in it.
 */
final class AnswerTracking {

    private final List<Attempt> offered = new ArrayList<>();
    private long answeredToken;

    /** Loop time since which nothing shows that answers and orders arrive, NaN while they do. */
    private double deafSince = Double.NaN;

    boolean deaf() {
        return !Double.isNaN(deafSince);
    }

    double deafFor(double now) {
        return now - deafSince;
    }

    /** The machine has answered something that was sent to it. */
    void responded() {
        deafSince = Double.NaN;
    }

    /** The answer to its last report carries this run order. */
    void offered(Attempt attempt) {
        offered.add(attempt);
    }

    /** Its last report has been answered with this token. */
    void answered(long token) {
        answeredToken = token;
    }

    /**
     * A report came after the last answer. A session that ended although its reports were answered
     * says that they do not arrive.
     *
     * @param newSession the report begins a new session of a machine that was up
     * @param tokenBefore the highest token it had shown before
     */
    void reported(Report report, boolean newSession, long tokenBefore, double now) {
        boolean heeded = report.token() > tokenBefore;
        boolean missed = newSession || report.token() < answeredToken;
        for (Attempt attempt : offered) {
            heeded |= attempt.phase != Attempt.Phase.ORDERED;
            missed |= attempt.phase == Attempt.Phase.ORDERED && !attempt.stopWanted;
        }
        offered.clear();
        if (heeded && !newSession) {
            deafSince = Double.NaN;
        } else if (missed && !deaf()) {
            deafSince = now;
        }
    }
}
