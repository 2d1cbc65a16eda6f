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
 * The leader's state of the machines and the attempts on them. Performs no I/O: callers pass in
 * heartbeats and loop times, and receive orders and events. {@link HeartbeatProcessor} applies
 * heartbeats, {@link AttemptReconciler} decides which attempts have ended, and {@link OrderPlanner}
 * selects the orders for the reply to a heartbeat. Used on the owner thread only; times are loop
 * times in seconds.
 */
public final class Fleet {

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    /** Receives the events of the fleet. */
    public interface Listener {
        /** Called when this leader first observes the attempt running. */
        void attemptStarted(Attempt attempt);

        /**
         * Called when the attempt has completed. The machine's heartbeats report it until it is
         * acknowledged and cleared.
         *
         * @param runTimeS run time in seconds; 0 if the start was not observed, since a partial run
         *     time would make all later predictions too short
         */
        void attemptCompleted(Attempt attempt, double runTimeS);

        /** Called when the attempt provably ended without completing; its task may be restarted. */
        void attemptTerminated(Attempt attempt, Cause cause);

        /**
         * Called when this leader receives the first heartbeat from the machine, or the first one
         * of a new agent incarnation.
         */
        void machineJoined(Machine machine);
    }

    private final MachineRegistry registry = new MachineRegistry();
    private final LiveAttempts liveAttempts = new LiveAttempts();
    private final LeaderFencingTokens tokens;
    private final StartGuard startGuard;
    private final AttemptReconciler attemptReconciler;
    private final OrderPlanner orderPlanner;
    private final HeartbeatProcessor heartbeatProcessor;

    /**
     * Creates the empty state for one leadership term.
     *
     * @param electionToken the fencing token of the election
     * @param directResponseValidityS seconds after a machine's last heartbeat during which its
     *     responses to direct messages count as signs that it is reachable
     */
    public Fleet(Listener listener, FencingToken electionToken, double directResponseValidityS) {
        this.tokens = new LeaderFencingTokens(electionToken);
        this.attemptReconciler = new AttemptReconciler(tokens, listener);
        this.startGuard = new StartGuard(liveAttempts, tokens);
        this.orderPlanner = new OrderPlanner(tokens, startGuard);
        this.heartbeatProcessor =
                new HeartbeatProcessor(
                        registry,
                        tokens,
                        attemptReconciler,
                        orderPlanner,
                        listener,
                        directResponseValidityS);
    }

    /** Sets the fencing token for all further orders. */
    public void renewFencingToken(FencingToken renewed) {
        tokens.renew(renewed);
    }

    /**
     * Suspends or resumes run orders in replies to heartbeats. They are suspended while the
     * key-value store has not answered this leader for so long that another controller may have
     * cancelled a job in the meantime.
     */
    public void setStartsSuspended(boolean suspended) {
        orderPlanner.setStartsSuspended(suspended);
    }

    /**
     * Returns the attempts of cancelled jobs that the machine may still start after the reply to
     * its last heartbeat. A direct run order with the current token may be in flight, and the
     * machine refuses it only after it has seen a newer token.
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
     * Whether a newer fencing token is needed, so that machines that have seen it refuse orders
     * with the current one.
     */
    public boolean needsNewerFencingToken() {
        return tokens.newerRequested();
    }

    /**
     * Returns whether a run order for the attempt may be sent as a direct message now. If not, a
     * stop is requested, since an earlier order may have been executed.
     */
    public boolean confirmDirectStart(Attempt attempt, double now) {
        boolean confirmed = startGuard.confirm(attempt, "direct", now);
        if (!confirmed) {
            requestStop(attempt, 0);
        }
        return confirmed;
    }

    /** Returns the number of starts that were refused although they had been planned. */
    public int refusedStartCount() {
        return startGuard.refusedCount();
    }

    /** Returns the number of live attempts on machines whose zone is not known. */
    public int attemptsInUnknownZone() {
        return registry.all().stream()
                .filter(machine -> !machine.attributes().known())
                .mapToInt(Machine::liveAttemptCount)
                .sum();
    }

    /** Returns the live attempts, which the owner of the jobs adds and removes. */
    public LiveAttempts liveAttempts() {
        return liveAttempts;
    }

    /** Returns all machines that may exist, in the order in which they were added. */
    public Collection<Machine> machines() {
        return registry.all();
    }

    /** Returns the machine with this name, or null if it is unknown. */
    public Machine getMachine(String name) {
        return registry.get(name);
    }

    /** Whether the cloud provider has confirmed the release of the machine. */
    public boolean wasReleased(String name) {
        return registry.wasReleased(name);
    }

    /**
     * Adds a machine that is expected to exist according to a rental, the cloud provider's list or
     * a durable record.
     */
    public Machine addExpectedMachine(
            String name, String type, String zone, boolean spot, double rentedAt, double now) {
        Machine machine = registry.getOrAdd(name, now);
        machine.expected = true;
        if (!type.isEmpty()) {
            boolean described = !machine.type().isEmpty();
            machine.observeAttributes(type, zone, spot);
            machine.rentedAt = described ? machine.rentedAt : Math.min(rentedAt, now);
        }
        return machine;
    }

    /**
     * Restores an attempt from a durable record of an earlier leader. The attempt may be live, and
     * orders for it may be in flight.
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
     * Adds an attempt whose intent is about to be written. No order may be sent for it until the
     * intent is durable.
     *
     * @throws IllegalStateException if another attempt of the same task is recorded on the machine
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
            // An agent refuses a task that it still holds. Dropping the record of the earlier
            // attempt would lose track of orders for it that may arrive late.
            throw new IllegalStateException(
                    "new attempt for a task that already has one on this machine: task="
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
     * Marks the intent of an attempt as durable.
     *
     * @return whether the run order may now be sent
     */
    public boolean markIntentDurable(Attempt attempt) {
        if (attempt.phase != Attempt.Phase.INTENDED) {
            return false;
        }
        if (attempt.stopRequested
                || attempt.machine.incarnation() != attempt.incarnation
                || attempt.machine.releasing
                || !startGuard.permits(attempt)) {
            // No order was sent for the attempt, so it cannot have started.
            attemptReconciler.withdrawIntent(attempt);
            return false;
        }
        attempt.phase = Attempt.Phase.ORDERED;
        return true;
    }

    /**
     * Records that run orders are about to be sent as direct messages. Must be called before they
     * are sent, since from then on they may be executed late.
     */
    public void recordDirectOrders(List<Attempt> attempts) {
        attempts.forEach(
                attempt ->
                        attempt.directOrderToken =
                                FencingToken.newest(
                                        attempt.directOrderToken, tokens.currentToken()));
    }

    /**
     * Requests a stop of the attempt. The stop order is repeated until the attempt has provably
     * ended. If no run order was sent, the intent is withdrawn once it is durable.
     *
     * @param gracePeriodS grace period in seconds for the process to exit by itself
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
     * Processes a heartbeat sent by an agent.
     *
     * @return the orders for the reply; empty if no reply may be sent because the heartbeat is a
     *     late duplicate or comes from a released machine
     */
    public Optional<List<Order>> handleHeartbeat(Heartbeat heartbeat, double now) {
        return heartbeatProcessor.receive(heartbeat, now);
    }

    /**
     * Processes a heartbeat from a partition owner's cache, if this leader has not yet received one
     * from the machine.
     *
     * @param receivedAt loop time in seconds at which the owner received the heartbeat
     */
    public void handleCachedHeartbeat(Heartbeat heartbeat, double receivedAt) {
        heartbeatProcessor.receiveCached(heartbeat, receivedAt);
    }

    /**
     * Reconstructs a heartbeat that differs from an earlier one only in its sequence and fencing
     * token.
     *
     * @param baseSequence sequence of the earlier heartbeat
     * @return empty if the earlier heartbeat is not the last one received from the machine
     */
    public Optional<Heartbeat> expandRepeatedHeartbeat(
            String name,
            long incarnation,
            long baseSequence,
            long sequence,
            FencingToken fencingToken) {
        return heartbeatProcessor.expandRepeated(
                name, incarnation, baseSequence, sequence, fencingToken);
    }

    /** Processes the status in an agent's response to a direct message. */
    public void handleDirectResponse(Heartbeat heartbeat, double now) {
        heartbeatProcessor.receiveDirectResponse(heartbeat, now);
    }

    /**
     * Processes the status in the response to direct orders. If another machine answered, no more
     * direct orders are sent to this address; the orders are repeated in replies to heartbeats.
     */
    public void handleOrderResponse(Machine addressed, Heartbeat heartbeat, double now) {
        if (!heartbeat.machine().equals(addressed.name) && !addressed.addressMisdirected) {
            addressed.addressMisdirected = true;
            LOG.error(
                    "direct orders answered by another machine: instance={} answeredBy={}"
                            + " address={}",
                    addressed.describe(),
                    heartbeat.machine(),
                    addressed.address);
        }
        handleDirectResponse(heartbeat, now);
    }

    /** Marks the machine as being released; no more tasks are placed on it. */
    public void markReleasing(Machine machine) {
        machine.releasing = true;
    }

    /** Removes a machine whose release the cloud has confirmed, and ends all attempts on it. */
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
        attemptReconciler.endAllAttempts(machine);
    }

    /**
     * Returns the number of machines by state name as shown to operators.
     *
     * @param unresponsiveAfterS seconds without a heartbeat or direct response after which a
     *     machine counts as unresponsive, shown as {@code silent}
     */
    public Map<String, Integer> countByState(double now, double unresponsiveAfterS) {
        return registry.countByState(now, unresponsiveAfterS);
    }
}
