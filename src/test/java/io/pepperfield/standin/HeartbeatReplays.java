package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;

/** Copies of workers' reports that come to every controller long after the reports themselves. */
final class HeartbeatReplays {

    private final SimWorld world;
    private final List<SimNode> nodes;
    private final List<byte[]> kept = new ArrayList<>();
    private double share;
    private double until;
    private boolean forNext;

    HeartbeatReplays(SimWorld world, List<SimNode> nodes) {
        this.world = world;
        this.nodes = nodes;
    }

    void copy(double ofShare, double untilThen, boolean keptForNextLeader) {
        share = ofShare;
        until = untilThen;
        forNext = keptForNextLeader;
    }

    void reported(byte[] body) {
        if (world.now() >= until || world.random.nextDouble() >= share) {
            return;
        }
        if (forNext) {
            kept.add(body);
        } else {
            world.after(
                    Fault.ReplayedHeartbeats.MIN_DELAY_S
                            + world.random.nextDouble()
                                    * (Fault.ReplayedHeartbeats.MAX_DELAY_S
                                            - Fault.ReplayedHeartbeats.MIN_DELAY_S),
                    () -> deliver(body));
        }
    }

    /** A new leader leads: what was kept for it comes in its first second. */
    void newLeader() {
        kept.forEach(body -> world.after(world.random.nextDouble(), () -> deliver(body)));
        kept.clear();
    }

    private void deliver(byte[] body) {
        nodes.stream()
                .filter(SimNode::alive)
                .forEach(node -> node.request("", "POST", "/agent/beat", body, reply -> {}));
    }
}
