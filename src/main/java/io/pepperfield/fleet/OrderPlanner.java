package io.pepperfield.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Selects the run, stop and clear orders for the reply to a heartbeat. */
final class OrderPlanner {

    private final LeaderFencingTokens tokens;
    private final StartGuard startGuard;
    private boolean startsSuspended;

    OrderPlanner(LeaderFencingTokens tokens, StartGuard startGuard) {
        this.tokens = tokens;
        this.startGuard = startGuard;
    }

    void setStartsSuspended(boolean suspended) {
        startsSuspended = suspended;
    }

    /**
     * Returns the orders for the reply to a heartbeat; none if the heartbeat is of an earlier
     * incarnation.
     */
    List<Order> plan(Machine machine, Heartbeat heartbeat, double now) {
        List<Order> orders = new ArrayList<>();
        if (heartbeat.incarnation() != machine.incarnation()) {
            return orders;
        }
        Set<TaskRef> known = new HashSet<>();
        for (Attempt attempt : machine.attempts.values()) {
            if (attempt.phase != Attempt.Phase.INTENDED
                    && attempt.incarnation == machine.incarnation()) {
                known.add(attempt.taskRef);
                addOrderForKnown(machine, attempt, orders, now);
            }
        }
        for (Heartbeat.AttemptStatus status : heartbeat.attempts()) {
            if (!isExpected(machine, status, known)) {
                addOrderForUnknown(machine, status, orders);
            }
        }
        return orders;
    }

    private void addOrderForKnown(
            Machine machine, Attempt attempt, List<Order> orders, double now) {
        boolean lateOrderPossible = !machine.highestTokenSeen.isNewerThan(attempt.directOrderToken);
        if (!attempt.live()) {
            // A clear deletes the agent's record of the attempt. A late direct order with a token
            // that the agent still accepts would then start the attempt again.
            if (attempt.acknowledged && !lateOrderPossible) {
                orders.add(new Order.Clear(attempt.taskRef, attempt.number));
            } else if (attempt.acknowledged) {
                tokens.requestNewer();
            }
        } else if (attempt.stopRequested) {
            addStop(attempt, lateOrderPossible, orders);
        } else if (mayStart(machine, attempt)) {
            addRun(machine, attempt, lateOrderPossible, orders, now);
        }
    }

    private void addStop(Attempt attempt, boolean lateOrderPossible, List<Order> orders) {
        orders.add(new Order.Stop(attempt.taskRef, attempt.number, attempt.gracePeriodS));
        if (attempt.phase == Attempt.Phase.ORDERED && lateOrderPossible) {
            tokens.requestNewer();
        }
    }

    private void addRun(
            Machine machine,
            Attempt attempt,
            boolean lateOrderPossible,
            List<Order> orders,
            double now) {
        if (!startGuard.confirm(attempt, "heartbeat reply", now)) {
            // An earlier order may have been executed, so the attempt has to be stopped.
            attempt.stopRequested = true;
            attempt.gracePeriodS = 0;
            addStop(attempt, lateOrderPossible, orders);
            return;
        }
        orders.add(new Order.Run(attempt.taskRef, attempt.number));
        machine.replyDelivery.recordRunOrder(attempt);
    }

    private boolean mayStart(Machine machine, Attempt attempt) {
        return attempt.phase == Attempt.Phase.ORDERED
                && !attempt.restored
                && !machine.releasing
                && !startsSuspended;
    }

    private static boolean isExpected(
            Machine machine, Heartbeat.AttemptStatus status, Set<TaskRef> known) {
        Attempt attempt = machine.attempts.get(status.taskRef());
        if (attempt == null || attempt.number != status.attemptNumber()) {
            return false;
        }
        return known.contains(status.taskRef()) || attempt.phase == Attempt.Phase.INTENDED;
    }

    /** Adds an order for an attempt of an earlier leader that no longer has a durable record. */
    private void addOrderForUnknown(
            Machine machine, Heartbeat.AttemptStatus status, List<Order> orders) {
        if (status.state() != Heartbeat.State.ENDED) {
            orders.add(new Order.Stop(status.taskRef(), status.attemptNumber(), 0));
        } else if (machine.highestTokenSeen.isAtLeast(tokens.electionToken())) {
            orders.add(new Order.Clear(status.taskRef(), status.attemptNumber()));
        }
    }
}
