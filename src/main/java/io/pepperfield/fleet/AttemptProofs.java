package io.pepperfield.fleet;

import io.pepperfield.fleet.Report.Cause;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What reports prove of the attempts on a machine. An attempt is alive until one of the proofs
 * holds that it is gone; they hold for old reports as for new ones.
 */
final class AttemptProofs {

    private final LeaderTokens tokens;
    private final Fleet.Listener listener;

    AttemptProofs(LeaderTokens tokens, Fleet.Listener listener) {
        this.tokens = tokens;
        this.listener = listener;
    }

    /**
     * Takes a report that is news.
     *
     * @param own the machine's own message rather than an answer to direct orders, which proves no
     *     absence: the answer to an earlier report may still be on its way
     */
    void take(Machine machine, Report report, boolean own, double now) {
        if (!machine.reborn && report.token() >= tokens.elected()) {
            endEarlierSessions(machine);
        }
        Set<TaskRef> shown = new HashSet<>();
        for (Report.Line line : report.lines()) {
            Attempt attempt = machine.attempts.get(line.ref());
            if (attempt != null
                    && attempt.number == line.attempt()
                    && attempt.tenure == machine.tenure) {
                shown.add(line.ref());
                show(attempt, line, now);
            }
        }
        if (own && !machine.reborn) {
            endAbsent(machine, shown);
        }
    }

    /**
     * Proof 2: a worker that begins a new session has killed and forgotten all of the one before.
     * Only a report that shows this leader's token tells so: sessions begin at 1 again on a machine
     * that was back at once, and a late copy from before that names a higher session than the one
     * in which its tasks run now.
     */
    private void endEarlierSessions(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.tenure < machine.tenure) {
                machine.attempts.remove(attempt.ref, attempt);
                if (attempt.live()) {
                    end(attempt, Cause.OTHER);
                }
            }
        }
    }

    private void show(Attempt attempt, Report.Line line, double now) {
        if (!attempt.live() || attempt.phase == Attempt.Phase.INTENDED) {
            return;
        }
        switch (line.state()) {
            case PULLING -> attempt.phase = Attempt.Phase.PULLING;
            case RUNNING -> showRunning(attempt, Attempt.Phase.RUNNING, now);
            case SAVING -> showRunning(attempt, Attempt.Phase.SAVING, now);
            case ENDED -> showEnded(attempt, line.cause(), now);
        }
    }

    private void showRunning(Attempt attempt, Attempt.Phase phase, double now) {
        boolean first = Double.isNaN(attempt.runningSince);
        // One that an earlier leader has begun may have run for long before it is first seen here.
        attempt.startSeen |= first && (!attempt.restored || attempt.phase == Attempt.Phase.PULLING);
        attempt.phase = phase;
        if (first) {
            attempt.runningSince = now;
            listener.started(attempt);
        }
    }

    private void showEnded(Attempt attempt, Cause cause, double now) {
        if (cause == Cause.DONE) {
            attempt.phase = Attempt.Phase.ENDED;
            attempt.machine.count(attempt, -1);
            attempt.machine.failedJobs.clear();
            listener.completed(attempt, attempt.startSeen ? now - attempt.runningSince : 0);
        } else {
            // Proof 1. The machine goes on holding the attempt until cleared, so no late order
            // starts it again.
            attempt.settled = true;
            end(attempt, cause);
        }
    }

    /**
     * Proof 4, for attempts that the machine's own report does not hold: it has seen a newer token
     * than any direct order for them carried, and what answers to its earlier reports offered is
     * over, since a report answers one at a time.
     */
    private void endAbsent(Machine machine, Set<TaskRef> shown) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (shown.contains(attempt.ref)
                    || attempt.phase == Attempt.Phase.INTENDED
                    || machine.seenToken <= attempt.directToken) {
                continue;
            }
            if (!attempt.live()) {
                machine.attempts.remove(attempt.ref, attempt);
            } else if (notStartedAgain(attempt)) {
                machine.attempts.remove(attempt.ref, attempt);
                end(attempt, Cause.OTHER);
            }
        }
    }

    /** Whether no answer to a report offers this attempt any more. */
    private static boolean notStartedAgain(Attempt attempt) {
        return attempt.phase != Attempt.Phase.ORDERED || attempt.stopWanted || attempt.restored;
    }

    /** The attempt is proven gone without being completed. */
    void end(Attempt attempt, Cause cause) {
        Machine machine = attempt.machine;
        attempt.phase = Attempt.Phase.ENDED;
        machine.count(attempt, -1);
        if (cause == Cause.ERROR) {
            machine.failedJobs.add(attempt.job);
        }
        if (machine.tenure != attempt.tenure) {
            machine.attempts.remove(attempt.ref, attempt);
        }
        listener.gone(attempt, cause);
    }

    /** Proof 3: the cloud has answered that the machine is gone with everything on it. */
    void endAll(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.live()) {
                end(attempt, Cause.OTHER);
            }
        }
    }
}
