package io.pepperfield.lifecycle;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.PartitionOrderRouter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Sends orders to machines without waiting for their next heartbeat. Orders for the same machine
 * that are enqueued between two flushes are sent in one message. Confined to the event loop.
 */
public final class DirectOrderSender {

    private final Loop loop;
    private final Fleet fleet;
    private final Leadership leadership;
    private final PartitionOrderRouter orderRouter;
    private final BooleanSupplier storeIsFresh;
    private final Map<Machine, List<Attempt>> pendingByMachine = new LinkedHashMap<>();
    private boolean termEnded;

    /**
     * Creates the sender of one term.
     *
     * @param storeIsFresh whether the state service has answered recently; if not, no run orders
     *     are sent
     */
    public DirectOrderSender(
            Loop loop,
            Fleet fleet,
            Leadership leadership,
            PartitionOrderRouter orderRouter,
            BooleanSupplier storeIsFresh) {
        this.loop = loop;
        this.fleet = fleet;
        this.leadership = leadership;
        this.orderRouter = orderRouter;
        this.storeIsFresh = storeIsFresh;
    }

    /** Ends the term: responses that arrive after this call are ignored. */
    public void stop() {
        termEnded = true;
    }

    /**
     * Schedules the attempt's order for the next {@link #flush()}; ignored if its intent is not
     * durable yet or it has ended.
     */
    void enqueue(Attempt attempt) {
        if (attempt.phase() != Attempt.Phase.INTENDED && attempt.live()) {
            pendingByMachine
                    .computeIfAbsent(attempt.machine, machine -> new ArrayList<>())
                    .add(attempt);
        }
    }

    /** Sends the enqueued orders. Must be called at the end of each batch of commands. */
    public void flush() {
        // Orders that are not sent here are delivered with the response to the machine's next
        // heartbeat.
        if (!pendingByMachine.isEmpty() && leadership.holdsValidLease()) {
            boolean mayStart = storeIsFresh.getAsBoolean();
            pendingByMachine.forEach((machine, attempts) -> send(machine, attempts, mayStart));
        }
        pendingByMachine.clear();
        orderRouter.flush();
    }

    private void send(Machine machine, List<Attempt> attempts, boolean mayStart) {
        if (machine.addressMisdirected()) {
            return;
        }
        List<Order> orders = new ArrayList<>();
        List<Attempt> starting = new ArrayList<>();
        for (Attempt attempt : attempts) {
            if (!attempt.live() || attempt.incarnation != machine.incarnation()) {
                continue;
            }
            if (mayStart && isStart(attempt) && fleet.confirmDirectStart(attempt, loop.now())) {
                orders.add(new Order.Run(attempt.taskRef, attempt.number));
                starting.add(attempt);
            } else if (attempt.stopRequested()) {
                // Also if the start was not confirmed.
                orders.add(new Order.Stop(attempt.taskRef, attempt.number, attempt.gracePeriodS()));
            }
        }
        if (orders.isEmpty() || machine.releasing()) {
            return;
        }
        fleet.recordDirectOrders(starting);
        orderRouter.sendOrders(
                machine.reportingController(),
                machine.address(),
                leadership.fencingToken(),
                machine.incarnation(),
                orders,
                result -> handleResponse(machine, result));
    }

    private static boolean isStart(Attempt attempt) {
        return !attempt.stopRequested() && attempt.phase() == Attempt.Phase.ORDERED;
    }

    private void handleResponse(Machine addressed, WorkerClient.Result result) {
        if (!termEnded && result instanceof WorkerClient.Result.Responded responded) {
            fleet.handleOrderResponse(addressed, responded.heartbeat(), loop.now());
        }
    }
}
