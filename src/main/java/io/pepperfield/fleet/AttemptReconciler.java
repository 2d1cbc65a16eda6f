package io.pepperfield.fleet;

import io.pepperfield.fleet.Heartbeat.Cause;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the attempts of a machine with its heartbeats. An attempt counts as alive until a
 * {@link TerminationProof} holds; the proofs hold for late heartbeats as for new ones.
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
     * Applies a heartbeat that is newer than what is known.
     *
     * @param provesAbsence whether it is the agent's own message. An answer to direct orders proves
     *     no absence: the reply to an earlier heartbeat may still be on its way
     */
    void reconcile(Machine machine, Heartbeat heartbeat, boolean provesAbsence, double now) {
        if (!machine.fencingTokenLost && heartbeat.fencingToken().isAtLeast(tokens.electionToken())) {
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
            endMissing(machine, reported);
        }
    }

    /**
     * Proof {@link TerminationProof#NEWER_INCARNATION}. Only a heartbeat with this leader's token
     * gives it: incarnations begin at 1 again on a machine that was back at once, and a late copy
     * from before that names a higher incarnation than the one in which its tasks run now.
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
        // One that an earlier leader has started may have run for long before it is first seen.
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
     * Proof {@link TerminationProof#ABSENT_FROM_HEARTBEAT}. Orders in replies to earlier heartbeats
     * are over, since an agent has one heartbeat under way at a time.
     */
    private void endMissing(Machine machine, Set<TaskRef> reported) {
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

    /** Whether no reply to a heartbeat orders this attempt to run any more. */
    private static boolean cannotStartAgain(Attempt attempt) {
        return attempt.phase != Attempt.Phase.ORDERED || attempt.stopRequested || attempt.restored;
    }

    /** The intent of an attempt is given up before an order has left. */
    void withdrawIntent(Attempt attempt) {
        endAttempt(attempt, Cause.STOPPED, TerminationProof.NEVER_ORDERED);
    }

    /** The cloud has confirmed that the machine is released. */
    void endAllAttempts(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.live()) {
                endAttempt(attempt, Cause.OTHER, TerminationProof.INSTANCE_RELEASED);
            }
        }
    }

    /** The attempt is proven to have ended without being completed. */
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
