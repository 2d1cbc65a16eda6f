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
 * The leader's direct way to the workers of all partitions: orders for another node's partition go
 * through that node, in one message for many workers. What their answers show comes back among that
 * node's reports.
 */
public final class PartitionOrderRouter implements WorkerClient {

    private final WorkerClient localWorkers;
    private final Peers peers;
    private final Map<String, Settings.Member> members = new HashMap<>();
    private final Map<Settings.Member, List<PeerMessages.DirectOrderMessage>> pendingOrders =
            new LinkedHashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;

    /** Creates the router; {@code own} reaches the workers of this node's partition. */
    public PartitionOrderRouter(WorkerClient own, Peers peers, Settings settings) {
        this.localWorkers = own;
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
            long tenure,
            JsonNode orders,
            Consumer<byte[]> heard) {
        localWorkers.forwardOrders(address, orderToken, tenure, orders, heard);
    }

    @Override
    public void sendOrders(
            String address,
            FencingToken orderToken,
            long tenure,
            List<Order> orders,
            Consumer<Result> done) {
        localWorkers.sendOrders(address, orderToken, tenure, orders, done);
    }

    /**
     * Orders for a worker that reports through that node; through this one where it is no member's
     * name.
     */
    public void sendOrders(
            String through,
            String address,
            FencingToken orderToken,
            long tenure,
            List<Order> orders,
            Consumer<Result> done) {
        Settings.Member owner = members.get(through);
        if (owner == null) {
            localWorkers.sendOrders(address, orderToken, tenure, orders, done);
            return;
        }
        fencingToken = orderToken;
        pendingOrders
                .computeIfAbsent(owner, o -> new ArrayList<>())
                .add(
                        new PeerMessages.DirectOrderMessage(
                                address, tenure, WorkerProtocol.encodeOrders(orders)));
    }

    /** At the end of each batch of commands: one message for each partition. */
    public void flush() {
        pendingOrders.forEach(
                (owner, messages) -> peers.sendDirectOrders(owner, fencingToken, messages));
        pendingOrders.clear();
    }
}
