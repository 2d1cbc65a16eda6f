package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.fleet.WorkerProtocol;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Routes the leader's direct orders to the workers of all partitions. Orders for a worker in
 * another controller's partition are sent through that controller, batched into one message per
 * controller; the workers' replies return with the heartbeats that the controller forwards.
 */
public final class PartitionOrderRouter implements WorkerClient {

    private final WorkerClient localWorkers;
    private final Peers peers;
    private final Map<String, Settings.Member> membersByName = new HashMap<>();
    private final Map<Settings.Member, List<PeerMessages.DirectOrderMessage>> pendingOrders =
            new LinkedHashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;

    /**
     * @param localWorkers the client for workers in this controller's own partition
     */
    public PartitionOrderRouter(WorkerClient localWorkers, Peers peers, Settings settings) {
        this.localWorkers = localWorkers;
        this.peers = peers;
        settings.members().forEach(member -> membersByName.put(member.node(), member));
    }

    @Override
    public void probe(String address, Consumer<Optional<Heartbeat>> done) {
        localWorkers.probe(address, done);
    }

    @Override
    public void forwardOrders(
            String address,
            FencingToken orderToken,
            long incarnation,
            JsonNode orders,
            Consumer<byte[]> onReply) {
        localWorkers.forwardOrders(address, orderToken, incarnation, orders, onReply);
    }

    @Override
    public void sendOrders(
            String address,
            FencingToken orderToken,
            long incarnation,
            List<Order> orders,
            Consumer<Result> done) {
        localWorkers.sendOrders(address, orderToken, incarnation, orders, done);
    }

    /**
     * Queues orders for a worker whose heartbeats arrive through the given controller, until the
     * next {@link #flush}; sends them directly if the name is not that of a cluster member.
     */
    public void sendOrders(
            String reportingController,
            String address,
            FencingToken orderToken,
            long incarnation,
            List<Order> orders,
            Consumer<Result> done) {
        Settings.Member owner = membersByName.get(reportingController);
        if (owner == null) {
            localWorkers.sendOrders(address, orderToken, incarnation, orders, done);
            return;
        }
        fencingToken = orderToken;
        pendingOrders
                .computeIfAbsent(owner, member -> new ArrayList<>())
                .add(
                        new PeerMessages.DirectOrderMessage(
                                address, incarnation, WorkerProtocol.encodeOrders(orders)));
    }

    /** Sends the queued orders, one message per controller; called after each command batch. */
    public void flush() {
        pendingOrders.forEach(
                (owner, messages) -> peers.sendDirectOrders(owner, fencingToken, messages));
        pendingOrders.clear();
    }
}
