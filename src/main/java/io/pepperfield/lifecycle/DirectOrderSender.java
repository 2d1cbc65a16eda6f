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
 * Sends orders that need not wait for a machine's next heartbeat: what came together for one
 * machine goes in one message. Confined to the event loop.
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
     * @param storeIsFresh whether the state service has answered of late; if not, starts wait
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

    /** The term has ended: what is still answered changes nothing. */
    public void stop() {
        termEnded = true;
    }

    /** The attempt's order is to leave with the next {@link #flush()}, if there is one to give. */
    void enqueue(Attempt attempt) {
        if (attempt.phase() != Attempt.Phase.INTENDED && attempt.live()) {
            pendingByMachine
                    .computeIfAbsent(attempt.machine, machine -> new ArrayList<>())
                    .add(attempt);
        }
    }

    /** To be called at the end of each batch of commands. */
    public void flush() {
        // What does not go directly goes with the answer to the machine's next heartbeat.
        if (!pendingByMachine.isEmpty() && leadership.holdsValidLease()) {
            boolean mayStart = storeIsFresh.getAsBoolean();
            pendingByMachine.forEach((machine, attempts) -> send(machine, attempts, mayStart));
        }
        pendingByMachine.clear();
        orderRouter.flush();
    }

    private void send(Machine machine, List<Attempt> attempts, boolean mayStart) {
        List<Order> orders = new ArrayList<>();
        List<Attempt> starting = new ArrayList<>();
        for (Attempt attempt : attempts) {
            if (!attempt.live() || attempt.incarnation != machine.incarnation()) {
                continue;
            }
            if (attempt.stopRequested()) {
                orders.add(new Order.Stop(attempt.taskRef, attempt.number, attempt.gracePeriodS()));
            } else if (attempt.phase() == Attempt.Phase.ORDERED && mayStart) {
                orders.add(new Order.Run(attempt.taskRef, attempt.number));
                starting.add(attempt);
            }
        }
        if (orders.isEmpty() || machine.releasing()) {
            return;
        }
        fleet.directOrdersLeaving(starting);
        orderRouter.sendOrders(
                machine.reportingController(),
                machine.address(),
                leadership.fencingToken(),
                machine.incarnation(),
                orders,
                this::handleResponse);
    }

    private void handleResponse(WorkerClient.Result result) {
        if (!termEnded && result instanceof WorkerClient.Result.Responded responded) {
            fleet.handleDirectResponse(responded.heartbeat(), loop.now());
        }
    }
}
