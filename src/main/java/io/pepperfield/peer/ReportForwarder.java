package io.pepperfield.peer;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Sender;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.ForwardingMessages.Answer;
import io.pepperfield.peer.ForwardingMessages.Kept;
import io.pepperfield.peer.ForwardingMessages.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * A partition owner's side of its link to the leader. Reports that came together go in one message,
 * and one message is under way; the leader's answer says what each worker is to be told. What a
 * report repeats of the one before is left out.
 */
public final class ReportForwarder {

    /** Workers wait so long for an answer. */
    private static final double PATIENCE_S = 4;

    /**
     * A report of a worker that waits for its answer; null verdicts mean that no leader answered.
     */
    private static final class Waiting {
        final Report report;
        final byte[] raw;
        final Consumer<Verdict> done;
        boolean whole;

        Waiting(Report report, byte[] raw, Consumer<Verdict> done) {
            this.report = report;
            this.raw = raw;
            this.done = done;
        }
    }

    private final Loop loop;
    private final Sender client;
    private final Settings settings;
    private final double reportS;
    private final String life = UUID.randomUUID().toString();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final ArrayDeque<byte[]> heard = new ArrayDeque<>();
    private final ArrayDeque<String> keptToSend = new ArrayDeque<>();
    private final LastReports lastReports;
    private Settings.Member leader;
    private long token;
    private Set<String> live = Set.of();
    private long sequence;
    private boolean underWay;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private double linkedAt = Double.NEGATIVE_INFINITY;
    private boolean linked;

    /** Creates a forwarder that knows of no leader yet. */
    public ReportForwarder(Loop loop, Sender client, Settings settings) {
        this.loop = loop;
        this.client = client;
        this.settings = settings;
        this.reportS = settings.deployment().workers().reportS();
        this.lastReports = new LastReports(reportS);
    }

    /**
     * Who leads, as this node knows it; another node than before has none of this part's reports
     * yet.
     */
    public void leader(String node) {
        if (leader != null && leader.node().equals(node) || leader == null && node.isEmpty()) {
            return;
        }
        leader =
                settings.members().stream()
                        .filter(m -> m.node().equals(node))
                        .findFirst()
                        .orElse(null);
        linked = false;
        live = Set.of();
        keptToSend.clear();
        if (leader != null) {
            lastReports.leaderChanged();
            keptToSend.addAll(lastReports.recentMachines(loop.now()));
        }
    }

    /** Whether the leader has answered this node of late. */
    public boolean linked(double now) {
        return linked && now - linkedAt < reportS;
    }

    /** When the leader last answered, whoever it was. */
    public double linkedAt() {
        return linkedAt;
    }

    /**
     * Up to when all cancellations are settled on the machine, by what leaders have answered it
     * through this node.
     */
    public double settledUpTo(String machine) {
        return lastReports.settledUpTo(machine);
    }

    /**
     * What a leader's answer to a report settles. One with a stop settles nothing: whether it
     * arrives nobody knows, and what is to be stopped may not even have begun. One without says
     * that no attempt of a job cancelled by then may be alive there.
     *
     * @param knownUpTo up to when that leader knew all cancellations
     */
    public static double settledUpTo(boolean anyStop, double knownUpTo) {
        return anyStop ? Double.NEGATIVE_INFINITY : knownUpTo;
    }

    /** The highest token that a leader has shown this node. */
    public long token() {
        return token;
    }

    /** The controllers that take reports, as the leader said last. */
    public Set<String> live() {
        return live;
    }

    /** The last reports of this node's partition, for a leader that begins: as old as they are. */
    public List<Kept> kept(double now) {
        return lastReports.recent(now);
    }

    /**
     * A leader has answered a worker's report through this node; remembered so that a new one need
     * not wait for the next.
     *
     * @param settledUpTo up to when that leader's answer settles all cancellations there
     */
    public void remember(Report report, byte[] raw, double settledUpTo) {
        lastReports.remember(report, raw, settledUpTo, loop.now());
    }

    /**
     * Passes a worker's report on; called back with the leader's word, or with null where there is
     * none.
     */
    public void submit(Report report, byte[] raw, Consumer<Verdict> done) {
        waiting.add(new Waiting(report, raw, done));
    }

    /** A worker's answer to direct orders, for the leader. */
    public void heard(byte[] raw) {
        heard.add(raw);
    }

    /** To be called at the end of each batch of commands, and often otherwise. */
    public void flush() {
        double now = loop.now();
        if (leader == null) {
            refuseWaiting();
            heard.clear();
            return;
        }
        boolean news = !waiting.isEmpty() || !heard.isEmpty() || !keptToSend.isEmpty();
        // Spaced, so that what comes from many workers costs the leader few messages; a word now
        // and then shows that
        // this node is there.
        if (!underWay && now - sentAt >= (news ? reportS / 50 : reportS / 4)) {
            send(now);
        }
    }

    private void refuseWaiting() {
        while (!waiting.isEmpty()) {
            waiting.poll().done.accept(null);
        }
    }

    private void send(double now) {
        underWay = true;
        sentAt = now;
        ForwardedBatch message = new ForwardedBatch(settings.node(), life, ++sequence, token);
        List<Waiting> batch = addReports(message);
        while (!heard.isEmpty() && message.hasRoom()) {
            message.addAnswer(heard.poll());
        }
        addRemembered(message, now);
        Settings.Member to = leader;
        // Well within a worker's patience, so that it can still be answered without orders, also
        // one that waits behind these.
        client.send(
                to.address().host(),
                to.address().port(),
                1,
                "POST",
                "/peer/relay",
                message.write(),
                Math.round(1000 * Math.min(reportS / 2, PATIENCE_S / 3)),
                outcome -> loop.post(() -> answered(to, now, batch, outcome)));
    }

    private List<Waiting> addReports(ForwardedBatch message) {
        List<Waiting> batch = new ArrayList<>();
        while (!waiting.isEmpty() && message.hasRoom()) {
            Waiting next = waiting.poll();
            batch.add(next);
            LastReports.Entry last = lastReports.get(next.report.machine());
            if (!next.whole && last != null && last.leaderKnows(next.report)) {
                message.addRepeated(next.report, last.report());
            } else {
                message.addReport(next.raw);
            }
        }
        return batch;
    }

    private void addRemembered(ForwardedBatch message, double now) {
        while (!keptToSend.isEmpty() && message.hasRoom()) {
            LastReports.Entry last = lastReports.get(keptToSend.poll());
            if (last != null) {
                message.addRemembered(last.raw(), now - last.at());
            }
        }
    }

    private void answered(Settings.Member from, double sent, List<Waiting> batch, Outcome outcome) {
        underWay = false;
        Answer answer = answer(outcome, batch.size());
        if (answer == null || from != leader) {
            batch.forEach(this::refuse);
            return;
        }
        token = Math.max(token, answer.token());
        live = answer.live();
        linked = true;
        linkedAt = Math.max(linkedAt, sent);
        double knownUpTo = sent - answer.contactAgoS();
        for (int i = 0; i < batch.size(); i++) {
            take(batch.get(i), answer.verdicts().get(i), knownUpTo);
        }
        lastReports.forgetBefore(loop.now() - settings.deployment().workers().cancelS());
    }

    private static Answer answer(Outcome outcome, int reports) {
        if (outcome instanceof Outcome.Answered answered && answered.status() == 200) {
            return ForwardingMessages.readAnswer(answered.json(), reports);
        }
        return null;
    }

    private void refuse(Waiting report) {
        lastReports.notPassedOn(report.report.machine());
        report.done.accept(null);
    }

    private void take(Waiting report, Verdict verdict, double knownUpTo) {
        if (verdict instanceof Verdict.WantsWhole && !report.whole) {
            report.whole = true;
            waiting.add(report);
            return;
        }
        if (verdict instanceof Verdict.Orders orders) {
            double settledUpTo = settledUpTo(Order.anyStop(orders.orders()), knownUpTo);
            remember(report.report, report.raw, settledUpTo);
            lastReports.passedOn(report.report);
        }
        report.done.accept(verdict);
    }
}
