package io.pepperfield.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Selects the run, stop and clear orders for the reply to a heartbeat. */
final class OrderPlanner {

    private final LeaderFencingTokens tokens;
    private boolean startsSuspended;

    OrderPlanner(LeaderFencingTokens tokens) {
        this.tokens = tokens;
    }

    void setStartsSuspended(boolean suspended) {
        startsSuspended = suspended;
    }

    /**
     * Returns the orders for the reply to a heartbeat; none if the heartbeat is of an earlier
     * incarnation.
     */
    List<Order> plan(Machine machine, Heartbeat heartbeat) {
        List<Order> orders = new ArrayList<>();
        if (heartbeat.incarnation() != machine.incarnation()) {
            return orders;
        }
        Set<TaskRef> known = new HashSet<>();
        for (Attempt attempt : machine.attempts.values()) {
            if (attempt.phase != Attempt.Phase.INTENDED
                    && attempt.incarnation == machine.incarnation()) {
                known.add(attempt.taskRef);
                addOrderForKnown(machine, attempt, orders);
            }
        }
        for (Heartbeat.AttemptStatus status : heartbeat.attempts()) {
            if (!isExpected(machine, status, known)) {
                addOrderForUnknown(machine, status, orders);
            }
        }
        return orders;
    }

    private void addOrderForKnown(Machine machine, Attempt attempt, List<Order> orders) {
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
            orders.add(new Order.Stop(attempt.taskRef, attempt.number, attempt.gracePeriodS));
            if (attempt.phase == Attempt.Phase.ORDERED && lateOrderPossible) {
                tokens.requestNewer();
            }
        } else if (mayStart(machine, attempt)) {
            orders.add(new Order.Run(attempt.taskRef, attempt.number));
            machine.replyDelivery.recordRunOrder(attempt);
        }
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
