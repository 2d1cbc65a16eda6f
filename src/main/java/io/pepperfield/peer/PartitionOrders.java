package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.fleet.Workers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The leader's direct way to the workers of all partitions: orders for another node's partition go
 * through that node, in one message for many workers. What their answers show comes back among that
 * node's reports.
 */
public final class PartitionOrders implements Workers {

    private final Workers own;
    private final Peers peers;
    private final Map<String, Settings.Member> members = new HashMap<>();
    private final Map<Settings.Member, List<ForwardingMessages.Direct>> waiting =
            new LinkedHashMap<>();
    private long token;

    /** Creates the router; {@code own} reaches the workers of this node's partition. */
    public PartitionOrders(Workers own, Peers peers, Settings settings) {
        this.own = own;
        this.peers = peers;
        settings.members().forEach(member -> members.put(member.node(), member));
    }

    @Override
    public void probe(String address, Consumer<Report> done) {
        own.probe(address, done);
    }

    @Override
    public void forward(
            String address, long orderToken, long tenure, JsonNode orders, Consumer<byte[]> heard) {
        own.forward(address, orderToken, tenure, orders, heard);
    }

    @Override
    public void orders(
            String address,
            long orderToken,
            long tenure,
            List<Order> orders,
            Consumer<Result> done) {
        own.orders(address, orderToken, tenure, orders, done);
    }

    /**
     * Orders for a worker that reports through that node; through this one where it is no member's
     * name.
     */
    public void orders(
            String through,
            String address,
            long orderToken,
            long tenure,
            List<Order> orders,
            Consumer<Result> done) {
        Settings.Member owner = members.get(through);
        if (owner == null) {
            own.orders(address, orderToken, tenure, orders, done);
            return;
        }
        token = orderToken;
        waiting.computeIfAbsent(owner, o -> new ArrayList<>())
                .add(
                        new ForwardingMessages.Direct(
                                address, tenure, Order.reply(orderToken, orders).path("orders")));
    }

    /** At the end of each batch of commands: one message for each partition. */
    public void flush() {
        waiting.forEach((owner, messages) -> peers.direct(owner, token, messages));
        waiting.clear();
    }
}
