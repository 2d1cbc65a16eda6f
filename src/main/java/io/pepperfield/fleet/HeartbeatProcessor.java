package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.List;
import java.util.Optional;

/**
 * Applies heartbeats to the state of their machines. A leader receives them from the agent itself,
 * from a partition owner's cache, or in the response to a direct message. Used on the owner thread
 * only.
 */
final class HeartbeatProcessor {

    private final MachineRegistry registry;
    private final LeaderFencingTokens tokens;
    private final AttemptReconciler attemptReconciler;
    private final OrderPlanner orderPlanner;
    private final Fleet.Listener listener;
    private final double directResponseValidityS;

    HeartbeatProcessor(
            MachineRegistry registry,
            LeaderFencingTokens tokens,
            AttemptReconciler attemptReconciler,
            OrderPlanner orderPlanner,
            Fleet.Listener listener,
            double directResponseValidityS) {
        this.registry = registry;
        this.tokens = tokens;
        this.attemptReconciler = attemptReconciler;
        this.orderPlanner = orderPlanner;
        this.listener = listener;
        this.directResponseValidityS = directResponseValidityS;
    }

    /**
     * Processes a heartbeat sent by the agent. Its state is applied unless a newer one was applied
     * before.
     *
     * @return the orders for the reply; empty if the heartbeat is a late duplicate or comes from a
     *     released machine, which get no reply
     */
    Optional<List<Order>> receive(Heartbeat heartbeat, double now) {
        Machine known = registry.get(heartbeat.machine());
        if (known != null && known.receivedPosition.covers(heartbeat)) {
            // A late duplicate: the sender no longer waits for a reply, and the message does not
            // prove that the machine still exists.
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
        List<Order> orders = orderPlanner.plan(machine, heartbeat, now);
        machine.replyDelivery.recordReply(tokens.currentToken());
        return Optional.of(orders);
    }

    /**
     * Processes a heartbeat cached by a partition owner; ignored if the machine has already sent a
     * heartbeat to this leader. Attempts missing from it are not considered ended, and no reply is
     * sent.
     *
     * @param receivedAt loop time in seconds at which the owner received the heartbeat
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
     * Processes the status in a machine's response to a direct message; ignored if the machine is
     * unknown. Attempts missing from it are not considered ended, and it replaces a heartbeat only
     * for a limited time.
     */
    void receiveDirectResponse(Heartbeat heartbeat, double now) {
        if (registry.get(heartbeat.machine()) == null
                || registry.wasReleased(heartbeat.machine())) {
            return;
        }
        Machine machine = apply(heartbeat, false, now);
        // An agent whose heartbeats reach no controller loses its lease and its tasks even if it
        // answers direct messages. If responses alone kept it schedulable, it would repeatedly be
        // assigned tasks that cannot finish.
        machine.lastResponseAt =
                machine.ready()
                        ? Math.min(now, machine.lastHeartbeatAt + directResponseValidityS)
                        : now;
        machine.replyDelivery.recordDirectResponse();
    }

    /**
     * Reconstructs a heartbeat that was sent as a difference from an earlier one.
     *
     * @param baseSequence sequence of the earlier heartbeat, which differs only in its sequence and
     *     fencing token
     * @return empty if the earlier heartbeat is not the last one received from the machine
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

    private Machine apply(Heartbeat heartbeat, boolean sentByAgent, double now) {
        Machine machine = registry.getOrAdd(heartbeat.machine(), now);
        machine.observeAttributes(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        if (machine.appliedPosition.covers(heartbeat)) {
            return machine;
        }
        machine.address = heartbeat.address();
        boolean appeared = !machine.ready() || heartbeat.incarnation() > machine.incarnation();
        machine.appliedPosition.advanceTo(heartbeat);
        observeFencingToken(machine, heartbeat.fencingToken());
        machine.reclaimAt =
                heartbeat.reclaimNoticeS() == null ? Double.NaN : now + heartbeat.reclaimNoticeS();
        attemptReconciler.reconcile(machine, heartbeat, sentByAgent, now);
        if (appeared && sentByAgent) {
            listener.machineJoined(machine);
        }
        return machine;
    }

    private void observeFencingToken(Machine machine, FencingToken token) {
        // An agent keeps the highest token that it has seen. A lower one means that the machine was
        // off only briefly and runs a new agent process, which would still execute old orders. An
        // attempt missing from its heartbeats is therefore never proven to have ended.
        machine.fencingTokenLost |= token.isOlderThan(machine.highestTokenSeen);
        machine.highestTokenSeen = FencingToken.newest(machine.highestTokenSeen, token);
        machine.hasSeenLeaderToken |= token.isAtLeast(tokens.electionToken());
    }
}
