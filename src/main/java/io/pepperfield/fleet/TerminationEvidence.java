package io.pepperfield.fleet;

import io.pepperfield.fleet.Heartbeat.Cause;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What reports prove of the attempts on a machine. An attempt is alive until one of the proofs
 * holds that it is gone; they hold for old reports as for new ones.
 */
final class TerminationEvidence {

    private final LeaderFencingTokens tokens;
    private final Fleet.Listener listener;

    TerminationEvidence(LeaderFencingTokens tokens, Fleet.Listener listener) {
        this.tokens = tokens;
        this.listener = listener;
    }

    /**
     * Takes a report that is news.
     *
     * @param own the machine's own message rather than an answer to direct orders, which proves no
     *     absence: the answer to an earlier report may still be on its way
     */
    void reconcile(Machine machine, Heartbeat report, boolean own, double now) {
        if (!machine.restarted && report.fencingToken().isAtLeast(tokens.electionToken())) {
            endEarlierIncarnations(machine);
        }
        Set<TaskRef> shown = new HashSet<>();
        for (Heartbeat.AttemptStatus line : report.attempts()) {
            Attempt attempt = machine.attempts.get(line.taskRef());
            if (attempt != null
                    && attempt.number == line.attemptNumber()
                    && attempt.incarnation == machine.incarnation) {
                shown.add(line.taskRef());
                reconcileAttempt(attempt, line, now);
            }
        }
        if (own && !machine.restarted) {
            endMissing(machine, shown);
        }
    }

    /**
     * Proof 2: a worker that begins a new session has killed and forgotten all of the one before.
     * Only a report that shows this leader's token tells so: sessions begin at 1 again on a machine
     * that was back at once, and a late copy from before that names a higher session than the one
     * in which its tasks run now.
     */
    private void endEarlierIncarnations(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.incarnation < machine.incarnation) {
                machine.attempts.remove(attempt.taskRef, attempt);
                if (attempt.live()) {
                    endAttempt(attempt, Cause.OTHER);
                }
            }
        }
    }

    private void reconcileAttempt(Attempt attempt, Heartbeat.AttemptStatus line, double now) {
        if (!attempt.live() || attempt.phase == Attempt.Phase.INTENDED) {
            return;
        }
        switch (line.state()) {
            case PULLING -> attempt.phase = Attempt.Phase.PULLING;
            case RUNNING -> observeRunning(attempt, Attempt.Phase.RUNNING, now);
            case SAVING -> observeRunning(attempt, Attempt.Phase.SAVING, now);
            case ENDED -> observeEnded(attempt, line.cause(), now);
        }
    }

    private void observeRunning(Attempt attempt, Attempt.Phase phase, double now) {
        boolean first = Double.isNaN(attempt.runningSince);
        // One that an earlier leader has begun may have run for long before it is first seen here.
        attempt.startObserved |=
                first && (!attempt.restored || attempt.phase == Attempt.Phase.PULLING);
        attempt.phase = phase;
        if (first) {
            attempt.runningSince = now;
            listener.attemptStarted(attempt);
        }
    }

    private void observeEnded(Attempt attempt, Cause cause, double now) {
        if (cause == Cause.DONE) {
            attempt.phase = Attempt.Phase.ENDED;
            attempt.machine.adjustUsage(attempt, -1);
            attempt.machine.failedJobs.clear();
            listener.attemptCompleted(
                    attempt, attempt.startObserved ? now - attempt.runningSince : 0);
        } else {
            // Proof 1. The machine goes on holding the attempt until cleared, so no late order
            // starts it again.
            attempt.acknowledged = true;
            endAttempt(attempt, cause);
        }
    }

    /**
     * Proof 4, for attempts that the machine's own report does not hold: it has seen a newer token
     * than any direct order for them carried, and what answers to its earlier reports offered is
     * over, since a report answers one at a time.
     */
    private void endMissing(Machine machine, Set<TaskRef> shown) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (shown.contains(attempt.taskRef)
                    || attempt.phase == Attempt.Phase.INTENDED
                    || !machine.highestTokenSeen.isNewerThan(attempt.directOrderToken)) {
                continue;
            }
            if (!attempt.live()) {
                machine.attempts.remove(attempt.taskRef, attempt);
            } else if (cannotStartAgain(attempt)) {
                machine.attempts.remove(attempt.taskRef, attempt);
                endAttempt(attempt, Cause.OTHER);
            }
        }
    }

    /** Whether no answer to a report offers this attempt any more. */
    private static boolean cannotStartAgain(Attempt attempt) {
        return attempt.phase != Attempt.Phase.ORDERED || attempt.stopRequested || attempt.restored;
    }

    /** The attempt is proven gone without being completed. */
    void endAttempt(Attempt attempt, Cause cause) {
        Machine machine = attempt.machine;
        attempt.phase = Attempt.Phase.ENDED;
        machine.adjustUsage(attempt, -1);
        if (cause == Cause.ERROR) {
            machine.failedJobs.add(attempt.job);
        }
        if (machine.incarnation != attempt.incarnation) {
            machine.attempts.remove(attempt.taskRef, attempt);
        }
        listener.attemptGone(attempt, cause);
    }

    /** Proof 3: the cloud has answered that the machine is gone with everything on it. */
    void endAllAttempts(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.live()) {
                endAttempt(attempt, Cause.OTHER);
            }
        }
    }
}
