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
 * The leader's direct way to the workers of all partitions: orders for another controller's
 * partition go through that controller, in one message for many workers. The workers' replies come
 * back with the heartbeats that it forwards.
 */
public final class PartitionOrderRouter implements WorkerClient {

    private final WorkerClient localWorkers;
    private final Peers peers;
    private final Map<String, Settings.Member> members = new HashMap<>();
    private final Map<Settings.Member, List<PeerMessages.DirectOrderMessage>> pendingOrders =
            new LinkedHashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;

    /**
     * Creates the router; {@code localWorkers} reaches the workers of this controller's partition.
     */
    public PartitionOrderRouter(WorkerClient localWorkers, Peers peers, Settings settings) {
        this.localWorkers = localWorkers;
        this.peers = peers;
        settings.members().forEach(member -> members.put(member.node(), member));
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
     * Sends orders to a worker that reports through that controller; directly where it is no
     * member's name.
     */
    public void sendOrders(
            String reportingController,
            String address,
            FencingToken orderToken,
            long incarnation,
            List<Order> orders,
            Consumer<Result> done) {
        Settings.Member owner = members.get(reportingController);
        if (owner == null) {
            localWorkers.sendOrders(address, orderToken, incarnation, orders, done);
            return;
        }
        fencingToken = orderToken;
        pendingOrders
                .computeIfAbsent(owner, o -> new ArrayList<>())
                .add(
                        new PeerMessages.DirectOrderMessage(
                                address, incarnation, WorkerProtocol.encodeOrders(orders)));
    }

    /** At the end of each batch of commands: one message for each partition. */
    public void flush() {
        pendingOrders.forEach(
                (owner, messages) -> peers.sendDirectOrders(owner, fencingToken, messages));
        pendingOrders.clear();
    }
}
