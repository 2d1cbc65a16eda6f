package io.pepperfield.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The orders that answer a machine's report: what is to run, to stop and to be forgotten there. */
final class OrderPlanner {

    private final LeaderFencingTokens tokens;
    private boolean startsSuspended;

    OrderPlanner(LeaderFencingTokens tokens) {
        this.tokens = tokens;
    }

    void suspendStarts(boolean hold) {
        startsSuspended = hold;
    }

    /** None where the report is of an earlier session. */
    List<Order> plan(Machine machine, Heartbeat report) {
        List<Order> orders = new ArrayList<>();
        if (report.incarnation() != machine.incarnation()) {
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
        for (Heartbeat.AttemptStatus line : report.attempts()) {
            if (!isExpected(machine, line, known)) {
                addOrderForUnknown(machine, line, orders);
            }
        }
        return orders;
    }

    private void addOrderForKnown(Machine machine, Attempt attempt, List<Order> orders) {
        boolean lateOrderPossible = !machine.highestTokenSeen.isNewerThan(attempt.directOrderToken);
        if (!attempt.live()) {
            // A clear makes the worker forget; a direct run under a token it still accepts would
            // start it once more.
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
            machine.replyDelivery.offered(attempt);
        }
    }

    private boolean mayStart(Machine machine, Attempt attempt) {
        return attempt.phase == Attempt.Phase.ORDERED
                && !attempt.restored
                && !machine.releasing
                && !startsSuspended;
    }

    private static boolean isExpected(
            Machine machine, Heartbeat.AttemptStatus line, Set<TaskRef> known) {
        Attempt attempt = machine.attempts.get(line.taskRef());
        if (attempt == null || attempt.number != line.attemptNumber()) {
            return false;
        }
        return known.contains(line.taskRef()) || attempt.phase == Attempt.Phase.INTENDED;
    }

    /** An attempt that no durable record knows any more, by a leader before this one. */
    private void addOrderForUnknown(
            Machine machine, Heartbeat.AttemptStatus line, List<Order> orders) {
        if (line.state() != Heartbeat.State.ENDED) {
            orders.add(new Order.Stop(line.taskRef(), line.attemptNumber(), 0));
        } else if (machine.highestTokenSeen.isAtLeast(tokens.electionToken())) {
            orders.add(new Order.Clear(line.taskRef(), line.attemptNumber()));
        }
    }
}
