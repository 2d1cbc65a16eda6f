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
 * Orders that need not wait for a machine's next report: what came together for one goes in one
 * message.
 */
public final class DirectOrders {

    private final Loop loop;
    private final Fleet fleet;
    private final Leadership leadership;
    private final PartitionOrderRouter workers;
    private final BooleanSupplier storeIsFresh;
    private final Map<Machine, List<Attempt>> pendingByMachine = new LinkedHashMap<>();
    private boolean stopped;

    /**
     * @param fresh whether the state service has answered of late, or starts have to wait
     */
    public DirectOrders(
            Loop loop,
            Fleet fleet,
            Leadership leadership,
            PartitionOrderRouter workers,
            BooleanSupplier fresh) {
        this.loop = loop;
        this.fleet = fleet;
        this.leadership = leadership;
        this.workers = workers;
        this.storeIsFresh = fresh;
    }

    /** The leadership has ended: what is still answered changes nothing. */
    public void stop() {
        stopped = true;
    }

    void enqueue(Attempt attempt) {
        if (attempt.phase() != Attempt.Phase.INTENDED && attempt.live()) {
            pendingByMachine.computeIfAbsent(attempt.machine, m -> new ArrayList<>()).add(attempt);
        }
    }

    /** At the end of each batch of commands. */
    public void flush() {
        // What does not go directly goes with the answer to the machine's next report.
        if (!pendingByMachine.isEmpty() && leadership.holdsValidLease()) {
            boolean mayStart = storeIsFresh.getAsBoolean();
            pendingByMachine.forEach((machine, attempts) -> send(machine, attempts, mayStart));
        }
        pendingByMachine.clear();
        workers.flush();
    }

    private void send(Machine machine, List<Attempt> attempts, boolean mayStart) {
        List<Order> orders = new ArrayList<>();
        List<Attempt> runs = new ArrayList<>();
        for (Attempt attempt : attempts) {
            if (!attempt.live() || attempt.incarnation != machine.incarnation()) {
                continue;
            }
            if (attempt.stopRequested()) {
                orders.add(new Order.Stop(attempt.taskRef, attempt.number, attempt.gracePeriodS()));
            } else if (attempt.phase() == Attempt.Phase.ORDERED && mayStart) {
                orders.add(new Order.Run(attempt.taskRef, attempt.number));
                runs.add(attempt);
            }
        }
        if (orders.isEmpty() || machine.releasing()) {
            return;
        }
        fleet.directOrdersLeaving(runs);
        workers.sendOrders(
                machine.reportingController(),
                machine.address(),
                leadership.fencingToken(),
                machine.incarnation(),
                orders,
                result -> {
                    if (!stopped && result instanceof WorkerClient.Result.Responded heard) {
                        fleet.handleDirectResponse(heard.heartbeat(), loop.now());
                    }
                });
    }
}
