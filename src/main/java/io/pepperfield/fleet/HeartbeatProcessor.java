package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.Optional;

/**
 * Applies heartbeats to the machines that they come from, by each of the ways in which a leader
 * gets them: from the agent itself, from a partition owner's cache, or as the answer to a direct
 * message. Used on the owner thread only.
 */
final class HeartbeatProcessor {

    private final MachineRegistry registry;
    private final LeaderFencingTokens tokens;
    private final AttemptReconciler terminationEvidence;
    private final OrderPlanner orderPlanner;
    private final Fleet.Listener listener;
    private final double directResponseValidityS;

    HeartbeatProcessor(
            MachineRegistry registry,
            LeaderFencingTokens tokens,
            AttemptReconciler terminationEvidence,
            OrderPlanner orderPlanner,
            Fleet.Listener listener,
            double directResponseValidityS) {
        this.registry = registry;
        this.tokens = tokens;
        this.terminationEvidence = terminationEvidence;
        this.orderPlanner = orderPlanner;
        this.listener = listener;
        this.directResponseValidityS = directResponseValidityS;
    }

    /**
     * Takes an agent's own heartbeat; its state is applied unless a newer one is known.
     *
     * @return the orders to reply with; empty for a late copy and for a released machine, neither
     *     of which is to be answered
     */
    Optional<List<Order>> receive(Heartbeat heartbeat, double now) {
        Machine known = registry.get(heartbeat.machine());
        if (known != null && known.receivedPosition.covers(heartbeat)) {
            // A late copy: its sender has given it up, and it does not prove that the machine is
            // still there.
            return Optional.empty();
        }
        boolean restarted =
                known != null && known.ready() && heartbeat.incarnation() > known.incarnation();
        FencingToken tokenBefore = known == null ? FencingToken.NONE : known.highestTokenSeen;
        if (registry.wasReleased(heartbeat.machine())) {
            return Optional.empty();
        }
        Machine machine = apply(heartbeat, true, now);
        machine.receivedPosition.advanceTo(heartbeat);
        machine.lastHeartbeatAt = now;
        machine.lastHeartbeat = heartbeat;
        machine.replyDelivery.recordHeartbeat(heartbeat, restarted, tokenBefore, now);
        List<Order> orders = orderPlanner.plan(machine, heartbeat);
        machine.replyDelivery.recordReply(tokens.currentToken());
        return Optional.of(orders);
    }

    /**
     * Takes a heartbeat that a partition owner has cached, for a machine whose next one is still to
     * come. It proves no absence, and nothing is answered to it.
     *
     * @param receivedAt loop time in seconds at which the owner received it
     */
    void receiveCached(Heartbeat heartbeat, double receivedAt) {
        Machine known = registry.get(heartbeat.machine());
        if (known != null && known.ready() || registry.wasReleased(heartbeat.machine())) {
            return;
        }
        Machine machine = apply(heartbeat, false, receivedAt);
        if (!machine.ready()) {
            machine.lastHeartbeatAt = receivedAt;
            listener.machineJoined(machine);
        }
    }

    /**
     * Takes the status that answers a direct message of a known machine; it proves no absence, and
     * stands in for a heartbeat only for a limited time.
     */
    void receiveDirectResponse(Heartbeat heartbeat, double now) {
        if (registry.get(heartbeat.machine()) == null
                || registry.wasReleased(heartbeat.machine())) {
            return;
        }
        Machine machine = apply(heartbeat, false, now);
        // An agent whose heartbeats reach nobody loses its tasks with its lease, however well it
        // answers direct messages: were these enough, it would be given work again and again, each
        // time in vain.
        machine.lastResponseAt =
                machine.ready()
                        ? Math.min(now, machine.lastHeartbeatAt + directResponseValidityS)
                        : now;
        machine.replyDelivery.recordDirectResponse();
    }

    /**
     * Restores a heartbeat of which only the difference was sent.
     *
     * @param baseSequence the heartbeat that it repeats but for sequence and token
     * @return empty where the base is not the machine's last heartbeat here
     */
    Optional<Heartbeat> expandRepeated(
            String name,
            long incarnation,
            long baseSequence,
            long sequence,
            FencingToken fencingToken) {
        Machine machine = registry.get(name);
        Heartbeat base = machine == null ? null : machine.lastHeartbeat;
        if (base == null || base.incarnation() != incarnation || base.sequence() != baseSequence) {
            return Optional.empty();
        }
        return Optional.of(base.withSequenceAndToken(sequence, fencingToken));
    }

    private Machine apply(Heartbeat heartbeat, boolean ownMessage, double now) {
        Machine machine = registry.getOrAdd(heartbeat.machine(), now);
        machine.setPool(heartbeat.type(), heartbeat.spot());
        machine.zone = heartbeat.zone();
        machine.address = heartbeat.address();
        if (machine.appliedPosition.covers(heartbeat)) {
            return machine;
        }
        boolean appeared = !machine.ready() || heartbeat.incarnation() > machine.incarnation();
        machine.appliedPosition.advanceTo(heartbeat);
        observeFencingToken(machine, heartbeat.fencingToken());
        machine.reclaimAt =
                heartbeat.reclaimNoticeS() == null ? Double.NaN : now + heartbeat.reclaimNoticeS();
        terminationEvidence.reconcile(machine, heartbeat, ownMessage, now);
        if (appeared && ownMessage) {
            listener.machineJoined(machine);
        }
        return machine;
    }

    private void observeFencingToken(Machine machine, FencingToken token) {
        // An agent keeps the highest token that it has seen. One that has forgotten it is another
        // process, on a machine that came back at once: it would carry out old orders, so that what
        // its heartbeats do not hold is never proven to have ended.
        machine.fencingTokenLost |= token.isOlderThan(machine.highestTokenSeen);
        machine.highestTokenSeen = FencingToken.newest(machine.highestTokenSeen, token);
        machine.hasSeenLeaderToken |= token.isAtLeast(tokens.electionToken());
    }
}
