package io.pepperfield.fleet;

import io.pepperfield.fleet.Report.Cause;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.Status;
import java.util.ArrayList;
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
 * The leader's machines and attempts, and the proofs that an attempt is gone. Pure state: reports
 * and times go in, orders and events come out.
 */
public final class Fleet {

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    /** What the leader does about events in the fleet. */
    public interface Listener {
        /** The attempt runs now, for the first time as far as this leader knows. */
        void started(Attempt attempt);

        /**
         * Completed; the attempt stays in the machine's reports until it is settled and cleared.
         * The time that it ran is 0 where its start was not seen: a part of it would make every
         * later prediction too short.
         */
        void completed(Attempt attempt, double ranS);

        /** Proven gone without being completed; its task may be started again. */
        void gone(Attempt attempt, Cause cause);

        /**
         * Nothing has been known of this machine, or it was up before and its worker has begun a
         * new session.
         */
        void appeared(Machine machine);
    }

    private final Listener listener;
    private final long electedToken;
    private final double standInS;
    private long token;
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /** Released with the cloud's word: a late report of one must not bring it back. */
    private final Set<String> released = new HashSet<>();

    private boolean newerTokenWanted;
    private boolean startsHeld;

    /**
     * @param standInS for how long after a machine's last report its answers to direct messages
     *     show that it can be counted on
     */
    public Fleet(Listener listener, long electedToken, double standInS) {
        this.listener = listener;
        this.electedToken = electedToken;
        this.standInS = standInS;
        this.token = electedToken;
    }

    /** Sets the token of the leader's renewed term, which goes into each order from now on. */
    public void token(long renewed) {
        token = renewed;
        newerTokenWanted = false;
    }

    /**
     * While true no answer to a report offers a start: the leader has not heard from the state
     * service for so long that others may have cancelled the job meanwhile.
     */
    public void holdStarts(boolean hold) {
        startsHeld = hold;
    }

    /**
     * Attempts of cancelled jobs that the machine may still begin after the answer to its last
     * report: a run order that left directly under the token of today may be on its way, and only a
     * newer token settles it.
     */
    public List<Attempt> unsettledCancelled(Machine machine) {
        return machine.attempts.values().stream()
                .filter(
                        attempt ->
                                attempt.job.end() == Status.CANCELLED
                                        && attempt.phase == Attempt.Phase.ORDERED
                                        && attempt.directToken >= token)
                .toList();
    }

    /**
     * Something waits for the machines to see a newer token, after which no order under the old one
     * is carried out.
     */
    public boolean newerTokenWanted() {
        return newerTokenWanted;
    }

    /** All machines that are believed to exist. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine of that name, or null. */
    public Machine get(String name) {
        return machines.get(name);
    }

    /** Whether this leader has seen the machine of that name returned to the cloud. */
    public boolean wasReleased(String name) {
        return released.contains(name);
    }

    /** A machine that should exist, by a rental, the cloud's list or a durable record. */
    public Machine expect(
            String name, String type, String zone, boolean spot, double rentedAt, double now) {
        Machine machine = machines.computeIfAbsent(name, n -> new Machine(n, now));
        machine.expected = true;
        if (!type.isEmpty() && machine.type().isEmpty()) {
            machine.kind(type, spot);
            machine.zone = zone;
            machine.rentedAt = Math.min(rentedAt, now);
        }
        return machine;
    }

    /**
     * Takes an attempt from a durable record of an earlier leader: possibly alive, its orders
     * possibly under way.
     */
    public Attempt restore(
            Job job, int task, int number, String machineName, long tenure, double now) {
        Machine machine = expect(machineName, "", "", false, now, now);
        Attempt attempt =
                new Attempt(
                        job,
                        task,
                        number,
                        machine,
                        tenure,
                        Attempt.Phase.ORDERED,
                        electedToken - 1,
                        now);
        attempt.restored = true;
        machine.attempts.put(attempt.ref, attempt);
        machine.count(attempt, 1);
        return attempt;
    }

    /** Records the intent to start a task; no order leaves before the intent is durable. */
    public Attempt intend(Job job, int task, int number, Machine machine, double now) {
        Attempt attempt =
                new Attempt(
                        job, task, number, machine, machine.tenure, Attempt.Phase.INTENDED, 0, now);
        Attempt old = machine.attempts.put(attempt.ref, attempt);
        if (old != null) {
            // A worker refuses a task that it still holds, and to forget the old attempt would lose
            // its late orders.
            throw new IllegalStateException(
                    attempt.ref + " is intended on " + machine.name + ", which still holds it");
        }
        machine.count(attempt, 1);
        machine.images.remove(job.spec.image());
        machine.images.add(job.spec.image());
        return attempt;
    }

    /** The intent is durable. True if the run order may leave now. */
    public boolean ordered(Attempt attempt) {
        if (attempt.phase != Attempt.Phase.INTENDED) {
            return false;
        }
        if (attempt.stopWanted
                || attempt.machine.tenure != attempt.tenure
                || attempt.machine.releasing) {
            // Nothing has left for it, so it is certain never to have been alive.
            end(attempt, Cause.STOPPED);
            return false;
        }
        attempt.phase = Attempt.Phase.ORDERED;
        return true;
    }

    /**
     * To be called before run orders leave by the direct way: from here on they may be carried out
     * late.
     */
    public void sendingDirect(List<Attempt> attempts) {
        attempts.forEach(a -> a.directToken = Math.max(a.directToken, token));
    }

    /** Wants the attempt stopped; an intent that has not left yet ends once its write does. */
    public void stop(Attempt attempt, double drainS) {
        if (attempt.live() && (!attempt.stopWanted || drainS < attempt.drainS)) {
            attempt.stopWanted = true;
            attempt.drainS = drainS;
            if (attempt.phase == Attempt.Phase.ORDERED) {
                newerTokenWanted = true;
            }
        }
    }

    /**
     * A worker's report by its own message: state is taken if it is news; its answer are the
     * orders, or null for none.
     */
    public List<Order> beat(Report report, double now) {
        Machine known = machines.get(report.machine());
        if (known != null
                && (report.tenure() < known.beatTenure
                        || report.tenure() == known.beatTenure
                                && report.serial() <= known.beatSerial)) {
            // A late copy: its sender has given it up, and it says nothing about whether the
            // machine is still there.
            return null;
        }
        boolean anew = known != null && known.up() && report.tenure() > known.tenure;
        long seenBefore = known == null ? 0 : known.seenToken;
        Machine machine = take(report, true, now);
        if (machine == null) {
            return null;
        }
        machine.beatTenure = report.tenure();
        machine.beatSerial = report.serial();
        machine.reportedAt = now;
        machine.lastBeat = report;
        listen(machine, report, anew, seenBefore, now);
        List<Order> orders = ordersFor(machine, report);
        machine.answeredToken = token;
        return orders;
    }

    /**
     * Whether answers reach the machine: its report shows what the answer to the one before
     * offered, or a token that it had not seen then. That reports arrive says nothing of it, and a
     * session that ended although its reports were answered says the contrary.
     */
    private static void listen(
            Machine machine, Report report, boolean anew, long seenBefore, double now) {
        boolean heeded = report.token() > seenBefore;
        boolean missed = anew || report.token() < machine.answeredToken;
        for (Attempt attempt : machine.offered) {
            heeded |= attempt.phase != Attempt.Phase.ORDERED;
            missed |= attempt.phase == Attempt.Phase.ORDERED && !attempt.stopWanted;
        }
        machine.offered.clear();
        if (heeded && !anew) {
            machine.deafSince = Double.NaN;
        } else if (missed && !machine.deaf()) {
            machine.deafSince = now;
        }
    }

    /**
     * What a partition owner remembers of a machine whose next report is still to come. It is as
     * old as it is: it proves no absence, and nothing is answered to it.
     */
    public void remembered(Report report, double at) {
        Machine known = machines.get(report.machine());
        if (known != null && known.up()) {
            return;
        }
        Machine machine = take(report, false, at);
        if (machine != null && !machine.up()) {
            machine.reportedAt = at;
            listener.appeared(machine);
        }
    }

    /**
     * A report that differs from the one named only in its serial and token, or null where that is
     * not the last one here.
     */
    public Report repeated(String name, long tenure, long base, long serial, long token) {
        Machine machine = machines.get(name);
        Report last = machine == null ? null : machine.lastBeat;
        return last == null || last.tenure() != tenure || last.serial() != base
                ? null
                : new Report(
                        last.machine(),
                        last.address(),
                        last.type(),
                        last.zone(),
                        last.spot(),
                        tenure,
                        serial,
                        token,
                        last.noticeS(),
                        last.lines());
    }

    /**
     * A report that came as the answer to direct orders; it renews nothing and proves no absence.
     */
    public void heard(Report report, double now) {
        if (machines.containsKey(report.machine())) {
            Machine machine = take(report, false, now);
            if (machine != null) {
                // A worker whose reports reach nobody loses its tasks with its lease, however well
                // it answers: with nothing but
                // direct answers from it for long it would be given work again and again, each time
                // in vain.
                machine.answeredAt =
                        machine.up() ? Math.min(now, machine.reportedAt + standInS) : now;
                machine.deafSince = Double.NaN;
            }
        }
    }

    private Machine take(Report report, boolean beat, double now) {
        if (released.contains(report.machine())) {
            return null;
        }
        Machine machine = machines.computeIfAbsent(report.machine(), n -> new Machine(n, now));
        machine.kind(report.type(), report.spot());
        machine.zone = report.zone();
        machine.address = report.address();
        if (report.tenure() < machine.tenure
                || report.tenure() == machine.tenure && report.serial() <= machine.serial) {
            return machine;
        }
        boolean appeared = !machine.up() || report.tenure() > machine.tenure;
        machine.tenure = report.tenure();
        machine.serial = report.serial();
        // A worker keeps the highest token it has seen. One that has forgotten it is another
        // process on a machine that came
        // back at once: it would carry out old orders, so that nothing missing from its reports is
        // proven gone for good.
        machine.reborn |= report.token() < machine.seenToken;
        machine.seenToken = Math.max(machine.seenToken, report.token());
        machine.heardLeader |= report.token() >= electedToken;
        machine.takenAt = report.noticeS() == null ? Double.NaN : now + report.noticeS();
        if (!machine.reborn && report.token() >= electedToken) {
            endEarlierSessions(machine);
        }
        Set<TaskRef> shown = new HashSet<>();
        for (Report.Line line : report.lines()) {
            Attempt attempt = machine.attempts.get(line.ref());
            if (attempt != null
                    && attempt.number == line.attempt()
                    && attempt.tenure == machine.tenure) {
                shown.add(line.ref());
                show(attempt, line, now);
            }
        }
        if (beat && !machine.reborn) {
            absent(machine, shown);
        }
        if (appeared && beat) {
            listener.appeared(machine);
        }
        return machine;
    }

    /**
     * Proof 2: a worker that begins a new session has killed and forgotten all of the one before.
     * Only a report that shows this leader's token tells so: sessions begin at 1 again on a machine
     * that was back at once, and a late copy from before that names a higher session than the one
     * in which its tasks run now.
     */
    private void endEarlierSessions(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.tenure < machine.tenure) {
                machine.attempts.remove(attempt.ref, attempt);
                if (attempt.live()) {
                    end(attempt, Cause.OTHER);
                }
            }
        }
    }

    private void show(Attempt attempt, Report.Line line, double now) {
        if (!attempt.live() || attempt.phase == Attempt.Phase.INTENDED) {
            return;
        }
        switch (line.state()) {
            case PULLING -> attempt.phase = Attempt.Phase.PULLING;
            case RUNNING, SAVING -> {
                boolean first = Double.isNaN(attempt.runningSince);
                // One that an earlier leader has begun may have run for long before it is first
                // seen here.
                attempt.startSeen |=
                        first && (!attempt.restored || attempt.phase == Attempt.Phase.PULLING);
                attempt.phase =
                        line.state() == Report.State.RUNNING
                                ? Attempt.Phase.RUNNING
                                : Attempt.Phase.SAVING;
                if (first) {
                    attempt.runningSince = now;
                    listener.started(attempt);
                }
            }
            case ENDED -> {
                if (line.cause() == Cause.DONE) {
                    attempt.phase = Attempt.Phase.ENDED;
                    attempt.machine.count(attempt, -1);
                    attempt.machine.failedJobs.clear();
                    listener.completed(attempt, attempt.startSeen ? now - attempt.runningSince : 0);
                } else {
                    // Proof 1. The machine goes on holding the attempt until cleared, so no late
                    // order starts it again.
                    attempt.settled = true;
                    end(attempt, line.cause());
                }
            }
        }
    }

    /**
     * Proof 4, for attempts that the machine's own report does not hold: it has seen a newer token
     * than any direct order for them carried, and what answers to its earlier reports offered is
     * over, since a report answers one at a time.
     */
    private void absent(Machine machine, Set<TaskRef> shown) {
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (shown.contains(attempt.ref) || attempt.phase == Attempt.Phase.INTENDED) {
                continue;
            }
            if (machine.seenToken <= attempt.directToken) {
                continue;
            }
            if (!attempt.live()) {
                machine.attempts.remove(attempt.ref, attempt);
            } else if (attempt.phase != Attempt.Phase.ORDERED
                    || attempt.stopWanted
                    || attempt.restored) {
                machine.attempts.remove(attempt.ref, attempt);
                end(attempt, Cause.OTHER);
            }
        }
    }

    private void end(Attempt attempt, Cause cause) {
        attempt.phase = Attempt.Phase.ENDED;
        attempt.machine.count(attempt, -1);
        if (cause == Cause.ERROR) {
            attempt.machine.failedJobs.add(attempt.job);
        }
        if (attempt.machine.tenure != attempt.tenure) {
            attempt.machine.attempts.remove(attempt.ref, attempt);
        }
        listener.gone(attempt, cause);
    }

    private List<Order> ordersFor(Machine machine, Report report) {
        List<Order> orders = new ArrayList<>();
        if (report.tenure() != machine.tenure) {
            return orders;
        }
        Set<TaskRef> known = new HashSet<>();
        for (Attempt attempt : machine.attempts.values()) {
            if (attempt.phase == Attempt.Phase.INTENDED || attempt.tenure != machine.tenure) {
                continue;
            }
            known.add(attempt.ref);
            if (!attempt.live()) {
                // A clear makes the worker forget; a direct run under a token it still accepts
                // would start it once more.
                if (attempt.settled && machine.seenToken > attempt.directToken) {
                    orders.add(new Order.Clear(attempt.ref, attempt.number));
                } else if (attempt.settled) {
                    newerTokenWanted = true;
                }
            } else if (attempt.stopWanted) {
                orders.add(new Order.Stop(attempt.ref, attempt.number, attempt.drainS));
                newerTokenWanted |=
                        attempt.phase == Attempt.Phase.ORDERED
                                && machine.seenToken <= attempt.directToken;
            } else if (attempt.phase == Attempt.Phase.ORDERED
                    && !attempt.restored
                    && !machine.releasing
                    && !startsHeld) {
                orders.add(new Order.Run(attempt.ref, attempt.number));
                machine.offered.add(attempt);
            }
        }
        for (Report.Line line : report.lines()) {
            Attempt attempt = machine.attempts.get(line.ref());
            boolean ours = attempt != null && attempt.number == line.attempt();
            if (ours && (known.contains(line.ref()) || attempt.phase == Attempt.Phase.INTENDED)) {
                continue;
            }
            // An attempt that no durable record knows any more, by a leader before this one.
            if (line.state() != Report.State.ENDED) {
                orders.add(new Order.Stop(line.ref(), line.attempt(), 0));
            } else if (machine.seenToken >= electedToken) {
                orders.add(new Order.Clear(line.ref(), line.attempt()));
            }
        }
        return orders;
    }

    /** Marks a machine as being returned to the cloud: it gets no more work. */
    public void releasing(Machine machine) {
        machine.releasing = true;
    }

    /** Proof 3: the cloud has answered that the machine is gone with everything on it. */
    public void gone(String name) {
        released.add(name);
        Machine machine = machines.remove(name);
        if (machine == null) {
            return;
        }
        if (machine.live > 0) {
            LOG.debug("{} is gone with {} attempts", machine.describe(), machine.live);
        }
        for (Attempt attempt : List.copyOf(machine.attempts.values())) {
            if (attempt.live()) {
                end(attempt, Cause.OTHER);
            }
        }
    }

    /** How many machines have this many seconds of silence or more, among those that were up. */
    public Map<String, Integer> census(double now, double silentS) {
        Map<String, Integer> census = new HashMap<>();
        for (Machine machine : machines.values()) {
            String state =
                    machine.releasing
                            ? "releasing"
                            : !machine.up()
                                    ? "awaited"
                                    : machine.silentFor(now) > silentS ? "silent" : "up";
            census.merge(state, 1, Integer::sum);
        }
        return census;
    }
}
