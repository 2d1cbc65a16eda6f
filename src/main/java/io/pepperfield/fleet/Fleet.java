package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat.Cause;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.Status;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's machines and the attempts on them. Pure state: heartbeats and times go in, orders
 * and events come out. {@link HeartbeatProcessor} applies heartbeats, {@link AttemptReconciler}
 * decides which attempts have ended, {@link OrderPlanner} what a heartbeat is answered with. Used
 * on the owner thread only; times are loop times in seconds.
 */
public final class Fleet {

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    /** What the leader does about events in the fleet. */
    public interface Listener {
        /** The attempt runs now, for the first time as far as this leader knows. */
        void attemptStarted(Attempt attempt);

        /**
         * The attempt is completed; it stays in the machine's heartbeats until it is acknowledged
         * and cleared.
         *
         * @param ranS seconds that it ran; 0 where its start was not observed, since a part of the
         *     time would make every later prediction too short
         */
        void attemptCompleted(Attempt attempt, double ranS);

        /** The attempt is proven to have ended without completing; its task may start again. */
        void attemptTerminated(Attempt attempt, Cause cause);

        /**
         * The machine sends its first heartbeat to this leader, or its agent has begun a new
         * incarnation.
         */
        void machineJoined(Machine machine);
    }

    private final MachineRegistry registry = new MachineRegistry();
    private final LeaderFencingTokens tokens;
    private final AttemptReconciler terminationEvidence;
    private final OrderPlanner orderPlanner;
    private final HeartbeatProcessor heartbeatReconciler;

    /**
     * Creates the empty state of one term.
     *
     * @param electionToken the fencing token of the election
     * @param directResponseValidityS seconds after a machine's last heartbeat during which its
     *     answers to direct messages show that it is reachable
     */
    public Fleet(Listener listener, FencingToken electionToken, double directResponseValidityS) {
        this.tokens = new LeaderFencingTokens(electionToken);
        this.terminationEvidence = new AttemptReconciler(tokens, listener);
        this.orderPlanner = new OrderPlanner(tokens);
        this.heartbeatReconciler =
                new HeartbeatProcessor(
                        registry,
                        tokens,
                        terminationEvidence,
                        orderPlanner,
                        listener,
                        directResponseValidityS);
    }

    /** The leader has a newer fencing token. */
    public void renewFencingToken(FencingToken renewed) {
        tokens.renew(renewed);
    }

    /**
     * While true no reply to a heartbeat orders a start: the key-value store has not answered this
     * leader for so long that others may have cancelled the job meanwhile.
     */
    public void setStartsSuspended(boolean suspended) {
        orderPlanner.setStartsSuspended(suspended);
    }

    /**
     * Attempts of cancelled jobs that the machine may still start after the reply to its last
     * heartbeat: a direct run order with the current token may be on its way, and is only refused
     * once the machine has seen a newer one.
     */
    public List<Attempt> cancelledAttemptsThatMayStart(Machine machine) {
        return machine.attempts.values().stream()
                .filter(
                        attempt ->
                                attempt.job.finalStatus() == Status.CANCELLED
                                        && attempt.phase == Attempt.Phase.ORDERED
                                        && attempt.directOrderToken.isAtLeast(
                                                tokens.currentToken()))
                .toList();
    }

    /**
     * Whether something waits for the machines to see a newer token, after which they refuse orders
     * with the old one.
     */
    public boolean needsNewerFencingToken() {
        return tokens.newerRequested();
    }

    /** All that may exist, in the order in which they became known. */
    public Collection<Machine> machines() {
        return registry.all();
    }

    /** The machine of that name, or null. */
    public Machine getMachine(String name) {
        return registry.get(name);
    }

    /** Whether the cloud has confirmed that the machine is gone. */
    public boolean wasReleased(String name) {
        return registry.wasReleased(name);
    }

    /** Adds a machine that should exist, by a rental, the cloud's list or a durable record. */
    public Machine addExpectedMachine(
            String name, String type, String zone, boolean spot, double rentedAt, double now) {
        Machine machine = registry.getOrAdd(name, now);
        machine.expected = true;
        if (!type.isEmpty() && machine.type().isEmpty()) {
            machine.setPool(type, spot);
            machine.zone = zone;
            machine.rentedAt = Math.min(rentedAt, now);
        }
        return machine;
    }

    /**
     * Restores an attempt from a durable record of an earlier leader: possibly alive, its orders
     * possibly under way.
     */
    public Attempt restoreAttempt(
            Job job, int task, int number, String machineName, long incarnation, double now) {
        Machine machine = addExpectedMachine(machineName, "", "", false, now, now);
        Attempt attempt =
                new Attempt(
                        job,
                        task,
                        number,
                        machine,
                        incarnation,
                        Attempt.Phase.ORDERED,
                        tokens.electionToken().predecessor(),
                        now);
        attempt.restored = true;
        machine.attempts.put(attempt.taskRef, attempt);
        machine.usage.add(job.spec);
        return attempt;
    }

    /**
     * Adds an attempt whose intent is about to be written; nothing may be ordered before it is
     * durable.
     *
     * @throws IllegalStateException where the machine still holds another attempt at the task
     */
    public Attempt addIntendedAttempt(Job job, int task, int number, Machine machine, double now) {
        Attempt attempt =
                new Attempt(
                        job,
                        task,
                        number,
                        machine,
                        machine.incarnation(),
                        Attempt.Phase.INTENDED,
                        FencingToken.NONE,
                        now);
        Attempt previous = machine.attempts.put(attempt.taskRef, attempt);
        if (previous != null) {
            // An agent refuses a task that it still holds, and to forget the earlier attempt would
            // lose track of its late orders.
            throw new IllegalStateException(
                    "task intended on a machine that still holds it: task="
                            + attempt.taskRef
                            + " attempt="
                            + number
                            + " held="
                            + previous.number
                            + " instance="
                            + machine.name);
        }
        machine.usage.add(job.spec);
        machine.images.remove(job.spec.image());
        machine.images.add(job.spec.image());
        return attempt;
    }

    /**
     * The intent is durable.
     *
     * @return whether the run order may be sent now
     */
    public boolean markIntentDurable(Attempt attempt) {
        if (attempt.phase != Attempt.Phase.INTENDED) {
            return false;
        }
        if (attempt.stopRequested
                || attempt.machine.incarnation() != attempt.incarnation
                || attempt.machine.releasing) {
            // Nothing has left for it, so it is certain never to have been alive.
            terminationEvidence.withdrawIntent(attempt);
            return false;
        }
        attempt.phase = Attempt.Phase.ORDERED;
        return true;
    }

    /**
     * To be called before run orders are sent directly: from here on they may be carried out late.
     */
    public void recordDirectOrders(List<Attempt> attempts) {
        attempts.forEach(
                attempt ->
                        attempt.directOrderToken =
                                FencingToken.newest(
                                        attempt.directOrderToken, tokens.currentToken()));
    }

    /**
     * Requests that the attempt be stopped; the order is repeated until it is proven to have ended.
     * An intent for which no order has left is withdrawn once it is durable.
     *
     * @param gracePeriodS seconds that its process is given to end by itself
     */
    public void requestStop(Attempt attempt, double gracePeriodS) {
        if (attempt.live() && (!attempt.stopRequested || gracePeriodS < attempt.gracePeriodS)) {
            attempt.stopRequested = true;
            attempt.gracePeriodS = gracePeriodS;
            if (attempt.phase == Attempt.Phase.ORDERED) {
                tokens.requestNewer();
            }
        }
    }

    /**
     * Takes an agent's own heartbeat.
     *
     * @return the orders to reply with; empty where it is not to be answered: a late copy, or of a
     *     released machine
     */
    public Optional<List<Order>> handleHeartbeat(Heartbeat heartbeat, double now) {
        return heartbeatReconciler.receive(heartbeat, now);
    }

    /**
     * Takes a heartbeat from a partition owner's cache, for a machine whose next one is still to
     * come.
     *
     * @param receivedAt loop time in seconds at which the owner received it
     */
    public void handleCachedHeartbeat(Heartbeat heartbeat, double receivedAt) {
        heartbeatReconciler.receiveCached(heartbeat, receivedAt);
    }

    /**
     * Restores a heartbeat that differs from the one named only in its sequence and token.
     *
     * @return empty where that is not the last one here
     */
    public Optional<Heartbeat> expandRepeatedHeartbeat(
            String name,
            long incarnation,
            long baseSequence,
            long sequence,
            FencingToken fencingToken) {
        return heartbeatReconciler.expandRepeated(
                name, incarnation, baseSequence, sequence, fencingToken);
    }

    /** Takes the status with which an agent has answered a direct message. */
    public void handleDirectResponse(Heartbeat heartbeat, double now) {
        heartbeatReconciler.receiveDirectResponse(heartbeat, now);
    }

    /** The cloud is asked to release the machine: it gets no more work. */
    public void markReleasing(Machine machine) {
        machine.releasing = true;
    }

    /** The cloud has confirmed that the machine is released, with everything on it. */
    public void confirmReleased(String name) {
        Machine machine = registry.markReleased(name);
        if (machine == null) {
            return;
        }
        if (!machine.idle()) {
            LOG.debug(
                    "instance released with live attempts: instance={} attempts={}",
                    machine.name,
                    machine.liveAttemptCount());
        }
        terminationEvidence.endAllAttempts(machine);
    }

    /**
     * The number of machines in each state, by the names that operators see.
     *
     * @param silentAfterS seconds without a heartbeat or answer after which a machine is silent
     */
    public Map<String, Integer> countByState(double now, double silentAfterS) {
        return registry.countByState(now, silentAfterS);
    }
}
