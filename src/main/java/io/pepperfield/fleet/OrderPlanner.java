package io.pepperfield.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The orders that answer a machine's report: what is to run, to stop and to be forgotten there. */
final class OrderPlanner {

    private final LeaderTokens tokens;
    private boolean startsHeld;

    OrderPlanner(LeaderTokens tokens) {
        this.tokens = tokens;
    }

    void holdStarts(boolean hold) {
        startsHeld = hold;
    }

    /** None where the report is of an earlier session. */
    List<Order> answer(Machine machine, Report report) {
        List<Order> orders = new ArrayList<>();
        if (report.tenure() != machine.tenure) {
            return orders;
        }
        Set<TaskRef> known = new HashSet<>();
        for (Attempt attempt : machine.attempts.values()) {
            if (attempt.phase != Attempt.Phase.INTENDED && attempt.tenure == machine.tenure) {
                known.add(attempt.ref);
                addKnown(machine, attempt, orders);
            }
        }
        for (Report.Line line : report.lines()) {
            if (!expected(machine, line, known)) {
                addUnknown(machine, line, orders);
            }
        }
        return orders;
    }

    private void addKnown(Machine machine, Attempt attempt, List<Order> orders) {
        boolean lateOrderPossible = machine.seenToken <= attempt.directToken;
        if (!attempt.live()) {
            // A clear makes the worker forget; a direct run under a token it still accepts would
            // start it once more.
            if (attempt.settled && !lateOrderPossible) {
                orders.add(new Order.Clear(attempt.ref, attempt.number));
            } else if (attempt.settled) {
                tokens.wantNewer();
            }
        } else if (attempt.stopWanted) {
            orders.add(new Order.Stop(attempt.ref, attempt.number, attempt.drainS));
            if (attempt.phase == Attempt.Phase.ORDERED && lateOrderPossible) {
                tokens.wantNewer();
            }
        } else if (mayStart(machine, attempt)) {
            orders.add(new Order.Run(attempt.ref, attempt.number));
            machine.answers.offered(attempt);
        }
    }

    private boolean mayStart(Machine machine, Attempt attempt) {
        return attempt.phase == Attempt.Phase.ORDERED
                && !attempt.restored
                && !machine.releasing
                && !startsHeld;
    }

    private static boolean expected(Machine machine, Report.Line line, Set<TaskRef> known) {
        Attempt attempt = machine.attempts.get(line.ref());
        if (attempt == null || attempt.number != line.attempt()) {
            return false;
        }
        return known.contains(line.ref()) || attempt.phase == Attempt.Phase.INTENDED;
    }

    /** An attempt that no durable record knows any more, by a leader before this one. */
    private void addUnknown(Machine machine, Report.Line line, List<Order> orders) {
        if (line.state() != Report.State.ENDED) {
            orders.add(new Order.Stop(line.ref(), line.attempt(), 0));
        } else if (machine.seenToken >= tokens.elected()) {
            orders.add(new Order.Clear(line.ref(), line.attempt()));
        }
    }
}
