package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat.Cause;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.Status;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's machines and the attempts on them. Pure state: reports and times go in, orders and
 * events come out. {@link TerminationEvidence} decides which attempts are gone, {@link
 * OrderPlanner} what a report is answered with.
 */
public final class Fleet {

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    /** What the leader does about events in the fleet. */
    public interface Listener {
        /** The attempt runs now, for the first time as far as this leader knows. */
        void attemptStarted(Attempt attempt);

        /**
         * Completed; the attempt stays in the machine's reports until it is settled and cleared.
         * The time that it ran is 0 where its start was not seen: a part of it would make every
         * later prediction too short.
         */
        void attemptCompleted(Attempt attempt, double ranS);

        /** Proven gone without being completed; its task may be started again. */
        void attemptGone(Attempt attempt, Cause cause);

        /**
         * Nothing has been known of this machine, or it was up before and its worker has begun a
         * new session.
         */
        void machineAppeared(Machine machine);
    }

    private final Listener listener;
    private final double directResponseValidityS;
    private final LeaderFencingTokens tokens;
    private final TerminationEvidence terminationEvidence;
    private final OrderPlanner orderPlanner;
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /** Released with the cloud's word: a late report of one must not bring it back. */
    private final Set<String> releasedMachines = new HashSet<>();

    /**
     * @param standInS for how long after a machine's last report its answers to direct messages
     *     show that it can be counted on
     */
    public Fleet(Listener listener, FencingToken electedToken, double standInS) {
        this.listener = listener;
        this.directResponseValidityS = standInS;
        this.tokens = new LeaderFencingTokens(electedToken);
        this.terminationEvidence = new TerminationEvidence(tokens, listener);
        this.orderPlanner = new OrderPlanner(tokens);
    }

    /** The leadership's token was minted anew. */
    public void renewFencingToken(FencingToken renewed) {
        tokens.renew(renewed);
    }

    /**
     * While true no answer to a report offers a start: the leader has not heard from the state
     * service for so long that others may have cancelled the job meanwhile.
     */
    public void suspendStarts(boolean hold) {
        orderPlanner.suspendStarts(hold);
    }

    /**
     * Attempts of cancelled jobs that the machine may still begin after the answer to its last
     * report: a run order that left directly under the token of today may be on its way, and only a
     * newer token settles it.
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
     * Something waits for the machines to see a newer token, after which no order under the old one
     * is carried out.
     */
    public boolean needsNewerFencingToken() {
        return tokens.newerRequested();
    }

    /** All that may exist, in the order in which they became known. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine of that name, or null. */
    public Machine get(String name) {
        return machines.get(name);
    }

    /** Whether the cloud has confirmed that the machine is gone. */
    public boolean wasReleased(String name) {
        return releasedMachines.contains(name);
    }

    /** A machine that should exist, by a rental, the cloud's list or a durable record. */
    public Machine expectMachine(
            String name, String type, String zone, boolean spot, double rentedAt, double now) {
        Machine machine = machines.computeIfAbsent(name, n -> new Machine(n, now));
        machine.expected = true;
        if (!type.isEmpty() && machine.type().isEmpty()) {
            machine.setInstanceClass(type, spot);
            machine.zone = zone;
            machine.rentedAt = Math.min(rentedAt, now);
        }
        return machine;
    }

    /**
     * Takes an attempt from a durable record of an earlier leader: possibly alive, its orders
     * possibly under way.
     */
    public Attempt restoreAttempt(
            Job job, int task, int number, String machineName, long tenure, double now) {
        Machine machine = expectMachine(machineName, "", "", false, now, now);
        Attempt attempt =
                new Attempt(
                        job,
                        task,
                        number,
                        machine,
                        tenure,
                        Attempt.Phase.ORDERED,
                        tokens.electionToken().predecessor(),
                        now);
        attempt.restored = true;
        machine.attempts.put(attempt.taskRef, attempt);
        machine.usage.add(job.spec);
        return attempt;
    }

    /**
     * An attempt whose intent is about to be written; nothing may be ordered before it is durable.
     */
    public Attempt intendAttempt(Job job, int task, int number, Machine machine, double now) {
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
        Attempt old = machine.attempts.put(attempt.taskRef, attempt);
        if (old != null) {
            // A worker refuses a task that it still holds, and to forget the old attempt would lose
            // its late orders.
            throw new IllegalStateException(
                    attempt.taskRef + " is intended on " + machine.name + ", which still holds it");
        }
        machine.usage.add(job.spec);
        machine.images.remove(job.spec.image());
        machine.images.add(job.spec.image());
        return attempt;
    }

    /** The intent is durable. True if the run order may leave now. */
    public boolean intentIsDurable(Attempt attempt) {
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
     * To be called before run orders leave by the direct way: from here on they may be carried out
     * late.
     */
    public void directOrdersLeaving(List<Attempt> attempts) {
        attempts.forEach(
                a ->
                        a.directOrderToken =
                                FencingToken.newest(a.directOrderToken, tokens.currentToken()));
    }

    /** Wants the attempt stopped; an intent that has not left yet ends once its write does. */
    public void requestStop(Attempt attempt, double drainS) {
        if (attempt.live() && (!attempt.stopRequested || drainS < attempt.gracePeriodS)) {
            attempt.stopRequested = true;
            attempt.gracePeriodS = drainS;
            if (attempt.phase == Attempt.Phase.ORDERED) {
                tokens.requestNewer();
            }
        }
    }

    /**
     * A worker's report by its own message: state is taken if it is news; its answer are the
     * orders, or null for none.
     */
    public List<Order> handleHeartbeat(Heartbeat report, double now) {
        Machine known = machines.get(report.machine());
        if (known != null && known.receivedPosition.covers(report)) {
            // A late copy: its sender has given it up, and it says nothing about whether the
            // machine is still there.
            return null;
        }
        boolean anew = known != null && known.ready() && report.incarnation() > known.incarnation();
        FencingToken seenBefore = known == null ? FencingToken.NONE : known.highestTokenSeen;
        Machine machine = applyHeartbeat(report, true, now);
        if (machine == null) {
            return null;
        }
        machine.receivedPosition.advanceTo(report);
        machine.lastHeartbeatAt = now;
        machine.lastHeartbeat = report;
        machine.replyDelivery.heartbeatReceived(report, anew, seenBefore, now);
        List<Order> orders = orderPlanner.plan(machine, report);
        machine.replyDelivery.replySent(tokens.currentToken());
        return orders;
    }

    /**
     * What a partition owner remembers of a machine whose next report is still to come. It is as
     * old as it is: it proves no absence, and nothing is answered to it.
     */
    public void handleCachedHeartbeat(Heartbeat report, double at) {
        Machine known = machines.get(report.machine());
        if (known != null && known.ready()) {
            return;
        }
        Machine machine = applyHeartbeat(report, false, at);
        if (machine != null && !machine.ready()) {
            machine.lastHeartbeatAt = at;
            listener.machineAppeared(machine);
        }
    }

    /**
     * A report that differs from the one named only in its serial and token, or null where that is
     * not the last one here.
     */
    public Heartbeat expandRepeatedHeartbeat(
            String name, long tenure, long base, long serial, FencingToken token) {
        Machine machine = machines.get(name);
        Heartbeat last = machine == null ? null : machine.lastHeartbeat;
        if (last == null || last.incarnation() != tenure || last.sequence() != base) {
            return null;
        }
        return last.withSequenceAndToken(serial, token);
    }

    /**
     * A report that came as the answer to direct orders; it renews nothing and proves no absence.
     */
    public void handleDirectResponse(Heartbeat report, double now) {
        if (machines.containsKey(report.machine())) {
            Machine machine = applyHeartbeat(report, false, now);
            if (machine != null) {
                // A worker whose reports reach nobody loses its tasks with its lease, however well
                // it answers: with nothing but
                // direct answers from it for long it would be given work again and again, each time
                // in vain.
                machine.lastResponseAt =
                        machine.ready()
                                ? Math.min(now, machine.lastHeartbeatAt + directResponseValidityS)
                                : now;
                machine.replyDelivery.directMessageAnswered();
            }
        }
    }

    private Machine applyHeartbeat(Heartbeat report, boolean beat, double now) {
        if (releasedMachines.contains(report.machine())) {
            return null;
        }
        Machine machine = machines.computeIfAbsent(report.machine(), n -> new Machine(n, now));
        machine.setInstanceClass(report.type(), report.spot());
        machine.zone = report.zone();
        machine.address = report.address();
        if (machine.appliedPosition.covers(report)) {
            return machine;
        }
        boolean appeared = !machine.ready() || report.incarnation() > machine.incarnation();
        machine.appliedPosition.advanceTo(report);
        // A worker keeps the highest token it has seen. One that has forgotten it is another
        // process on a machine that came
        // back at once: it would carry out old orders, so that nothing missing from its reports is
        // proven gone for good.
        machine.restarted |= report.fencingToken().isOlderThan(machine.highestTokenSeen);
        machine.highestTokenSeen =
                FencingToken.newest(machine.highestTokenSeen, report.fencingToken());
        machine.hasSeenLeaderToken |= report.fencingToken().isAtLeast(tokens.electionToken());
        machine.reclaimAt =
                report.reclaimNoticeS() == null ? Double.NaN : now + report.reclaimNoticeS();
        terminationEvidence.reconcile(machine, report, beat, now);
        if (appeared && beat) {
            listener.machineAppeared(machine);
        }
        return machine;
    }

    /** The cloud is asked to take the machine back: it gets no more work. */
    public void markReleasing(Machine machine) {
        machine.releasing = true;
    }

    /** Proof 3: the cloud has answered that the machine is gone with everything on it. */
    public void confirmReleased(String name) {
        releasedMachines.add(name);
        Machine machine = machines.remove(name);
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

    /** How many machines have this many seconds of silence or more, among those that were up. */
    public Map<String, Integer> countByState(double now, double silentS) {
        Map<String, Integer> census = new HashMap<>();
        for (Machine machine : machines.values()) {
            String state = stateName(machine, now, silentS);
            census.merge(state, 1, Integer::sum);
        }
        return census;
    }

    private static String stateName(Machine machine, double now, double silentS) {
        if (machine.releasing) {
            return "releasing";
        }
        if (!machine.ready()) {
            return "awaited";
        }
        return machine.silentFor(now) > silentS ? "silent" : "up";
    }
}
