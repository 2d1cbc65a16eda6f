package io.pepperfield.fleet;

import io.pepperfield.fleet.Heartbeat.Cause;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the attempts of a machine with its heartbeats. An attempt counts as live until a
 * {@link TerminationProof} holds. The proofs are valid for late heartbeats as well as new ones.
 */
final class AttemptReconciler {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

    private final LeaderFencingTokens tokens;
    private final Fleet.Listener listener;

    AttemptReconciler(LeaderFencingTokens tokens, Fleet.Listener listener) {
        this.tokens = tokens;
        this.listener = listener;
    }

    /**
     * Applies a heartbeat that is newer than the last one applied.
     *
     * @param provesAbsence whether attempts missing from the heartbeat may count as ended, which
     *     requires a heartbeat sent by the agent itself. With a response to direct orders, the
     *     reply to an earlier heartbeat may still be in flight
     */
    void reconcile(Machine machine, Heartbeat heartbeat, boolean provesAbsence, double now) {
        if (!machine.fencingTokenLost
                && heartbeat.fencingToken().isAtLeast(tokens.electionToken())) {
            endEarlierIncarnations(machine);
        }
        Set<TaskRef> reported = new HashSet<>();
        for (Heartbeat.AttemptStatus status : heartbeat.attempts()) {
            Attempt attempt = machine.attempts.get(status.taskRef());
            if (attempt != null
                    && attempt.number == status.attemptNumber()
                    && attempt.incarnation == machine.incarnation()) {
                reported.add(status.taskRef());
                reconcileAttempt(attempt, status, now);
            }
        }
        if (provesAbsence && !machine.fencingTokenLost) {
            endAbsentAttempts(machine, reported);
        }
    }

    /**
     * Applies {@link TerminationProof#NEWER_INCARNATION}. The proof requires a heartbeat with this
     * leader's fencing token: incarnations restart from 1 on a machine that was off only briefly,
     * so a late duplicate from before the restart has a higher incarnation than the current one.
     */
    private void endEarlierIncarnations(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.incarnation < machine.incarnation()) {
                machine.attempts.remove(attempt.taskRef, attempt);
                if (attempt.live()) {
                    endAttempt(attempt, Cause.OTHER, TerminationProof.NEWER_INCARNATION);
                }
            }
        }
    }

    private void reconcileAttempt(Attempt attempt, Heartbeat.AttemptStatus status, double now) {
        if (!attempt.live() || attempt.phase == Attempt.Phase.INTENDED) {
            return;
        }
        switch (status.state()) {
            case PULLING -> attempt.phase = Attempt.Phase.PULLING;
            case RUNNING -> observeRunning(attempt, Attempt.Phase.RUNNING, now);
            case SAVING -> observeRunning(attempt, Attempt.Phase.SAVING, now);
            case ENDED -> observeEnded(attempt, status.cause(), now);
        }
    }

    private void observeRunning(Attempt attempt, Attempt.Phase phase, double now) {
        boolean first = Double.isNaN(attempt.runningSince);
        // An attempt started by an earlier leader may have run long before it is first observed.
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
            attempt.machine.usage.remove(attempt.job.spec);
            attempt.machine.jobFailures.clear();
            listener.attemptCompleted(
                    attempt, attempt.startObserved ? now - attempt.runningSince : 0);
        } else {
            attempt.acknowledged = true;
            endAttempt(attempt, cause, TerminationProof.REPORTED_ENDED);
        }
    }

    /**
     * Applies {@link TerminationProof#ABSENT_FROM_HEARTBEAT}. Orders in replies to earlier
     * heartbeats can no longer be executed, since an agent has only one heartbeat in flight at a
     * time.
     */
    private void endAbsentAttempts(Machine machine, Set<TaskRef> reported) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (reported.contains(attempt.taskRef)
                    || attempt.phase == Attempt.Phase.INTENDED
                    || !machine.highestTokenSeen.isNewerThan(attempt.directOrderToken)) {
                continue;
            }
            if (!attempt.live()) {
                machine.attempts.remove(attempt.taskRef, attempt);
            } else if (cannotStartAgain(attempt)) {
                machine.attempts.remove(attempt.taskRef, attempt);
                endAttempt(attempt, Cause.OTHER, TerminationProof.ABSENT_FROM_HEARTBEAT);
            }
        }
    }

    /** Whether no further reply to a heartbeat will contain a run order for this attempt. */
    private static boolean cannotStartAgain(Attempt attempt) {
        return attempt.phase != Attempt.Phase.ORDERED || attempt.stopRequested || attempt.restored;
    }

    /** Withdraws the intent of an attempt for which no order was sent. */
    void withdrawIntent(Attempt attempt) {
        endAttempt(attempt, Cause.STOPPED, TerminationProof.NEVER_ORDERED);
    }

    /** Ends all live attempts of a machine whose release the cloud has confirmed. */
    void endAllAttempts(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.live()) {
                endAttempt(attempt, Cause.OTHER, TerminationProof.INSTANCE_RELEASED);
            }
        }
    }

    /** Marks an attempt as ended without completion. */
    private void endAttempt(Attempt attempt, Cause cause, TerminationProof proof) {
        Machine machine = attempt.machine;
        attempt.phase = Attempt.Phase.ENDED;
        machine.usage.remove(attempt.job.spec);
        if (cause == Cause.ERROR) {
            machine.jobFailures.add(attempt.job);
        }
        if (machine.incarnation() != attempt.incarnation) {
            machine.attempts.remove(attempt.taskRef, attempt);
        }
        LOG.debug(
                "attempt ended: task={} attempt={} instance={} incarnation={} cause={} proof={}",
                attempt.taskRef,
                attempt.number,
                machine.name,
                attempt.incarnation,
                cause,
                proof);
        listener.attemptTerminated(attempt, cause);
    }
}
