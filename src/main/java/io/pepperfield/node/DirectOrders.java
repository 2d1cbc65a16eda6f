package io.pepperfield.node;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Workers;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.PartitionOrders;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Orders that need not wait for a machine's next report: what came together for one goes in one
 * message.
 */
final class DirectOrders {

    private final Loop loop;
    private final Fleet fleet;
    private final Leadership leadership;
    private final PartitionOrders workers;
    private final BooleanSupplier fresh;
    private final Map<Machine, List<Attempt>> toSend = new LinkedHashMap<>();
    private boolean stopped;

    /**
     * @param fresh whether the state service has answered of late, or starts have to wait
     */
    DirectOrders(
            Loop loop,
            Fleet fleet,
            Leadership leadership,
            PartitionOrders workers,
            BooleanSupplier fresh) {
        this.loop = loop;
        this.fleet = fleet;
        this.leadership = leadership;
        this.workers = workers;
        this.fresh = fresh;
    }

    /** The leadership has ended: what is still answered changes nothing. */
    void stop() {
        stopped = true;
    }

    void add(Attempt attempt) {
        if (attempt.phase() != Attempt.Phase.INTENDED && attempt.live()) {
            toSend.computeIfAbsent(attempt.machine, m -> new ArrayList<>()).add(attempt);
        }
    }

    /** At the end of each batch of commands. */
    void flush() {
        // What does not go directly goes with the answer to the machine's next report.
        if (!toSend.isEmpty() && leadership.confirmed()) {
            boolean mayStart = fresh.getAsBoolean();
            toSend.forEach((machine, attempts) -> send(machine, attempts, mayStart));
        }
        toSend.clear();
        workers.flush();
    }

    private void send(Machine machine, List<Attempt> attempts, boolean mayStart) {
        List<Order> orders = new ArrayList<>();
        List<Attempt> runs = new ArrayList<>();
        for (Attempt attempt : attempts) {
            if (!attempt.live() || attempt.tenure != machine.tenure()) {
                continue;
            }
            if (attempt.stopWanted()) {
                orders.add(new Order.Stop(attempt.ref, attempt.number, attempt.drainS()));
            } else if (attempt.phase() == Attempt.Phase.ORDERED && mayStart) {
                orders.add(new Order.Run(attempt.ref, attempt.number));
                runs.add(attempt);
            }
        }
        if (orders.isEmpty() || machine.releasing()) {
            return;
        }
        fleet.sendingDirect(runs);
        workers.orders(
                machine.through(),
                machine.address(),
                leadership.token(),
                machine.tenure(),
                orders,
                result -> {
                    if (!stopped && result instanceof Workers.Result.Heard heard) {
                        fleet.heard(heard.report(), loop.now());
                    }
                });
    }
}
