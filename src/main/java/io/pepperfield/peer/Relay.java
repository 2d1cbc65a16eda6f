package io.pepperfield.peer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Sender;
import io.pepperfield.node.Loop;
import io.pepperfield.peer.RelayMessages.Answer;
import io.pepperfield.peer.RelayMessages.Kept;
import io.pepperfield.peer.RelayMessages.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * A partition owner's side of its link to the leader. Reports that came together go in one message,
 * and one message is under way; the leader's answer says what each worker is to be told. What a
 * report repeats of the one before is left out.
 */
public final class Relay {

    /** Workers wait so long for an answer. */
    private static final double PATIENCE_S = 4;

    /**
     * The peers' listener takes four times as much as one for users; a report alone may be a
     * quarter of it.
     */
    private static final int MOST_BYTES = 128 * 1024;

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

    /** The last report of a machine of this node's partition. */
    private static final class Known {
        Report report;
        byte[] raw;
        double at;

        /**
         * A time up to which all cancellations were settled on the machine by a leader's word; see
         * {@link Relay#settledUpTo}.
         */
        double settledUpTo = Double.NEGATIVE_INFINITY;

        /** Whether the leader has it, as far as this node knows. */
        boolean passedOn;
    }

    private final Loop loop;
    private final Sender client;
    private final Settings settings;
    private final double reportS;
    private final String life = UUID.randomUUID().toString();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final ArrayDeque<byte[]> heard = new ArrayDeque<>();
    private final ArrayDeque<String> keptToSend = new ArrayDeque<>();
    private final Map<String, Known> known = new HashMap<>();
    private Settings.Member leader;
    private long token;
    private Set<String> live = Set.of();
    private long sequence;
    private boolean underWay;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private double linkedAt = Double.NEGATIVE_INFINITY;
    private boolean linked;

    /** Creates an idle link; it sends nothing before a leader is known. */
    public Relay(Loop loop, Sender client, Settings settings) {
        this.loop = loop;
        this.client = client;
        this.settings = settings;
        this.reportS = settings.deployment().workers().reportS();
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
            known.forEach(
                    (machine, last) -> {
                        last.passedOn = false;
                        if (loop.now() - last.at < 1.25 * reportS) {
                            keptToSend.add(machine);
                        }
                    });
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
        Known last = known.get(machine);
        return last == null ? Double.NEGATIVE_INFINITY : last.settledUpTo;
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

    /** The names of the controllers that take reports, by the leader's last answer. */
    public Set<String> live() {
        return live;
    }

    /** The last reports of this node's partition, for a leader that begins: as old as they are. */
    public List<Kept> kept(double now) {
        List<Kept> all = new ArrayList<>();
        known.values()
                .forEach(
                        last -> {
                            if (now - last.at < 1.25 * reportS) {
                                all.add(new Kept(last.report, now - last.at));
                            }
                        });
        return all;
    }

    /**
     * A leader has answered a worker's report through this node; remembered so that a new one need
     * not wait for the next.
     *
     * @param settledUpTo up to when that leader's answer settles all cancellations there
     */
    public void remember(Report report, byte[] raw, double settledUpTo) {
        Known last = known.computeIfAbsent(report.machine(), m -> new Known());
        last.settledUpTo = Math.max(last.settledUpTo, settledUpTo);
        if (last.report == null
                || report.tenure() > last.report.tenure()
                || report.tenure() == last.report.tenure()
                        && report.serial() > last.report.serial()) {
            last.report = report;
            last.raw = raw;
            last.at = loop.now();
        }
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
        ObjectNode body =
                Json.object()
                        .put("node", settings.node())
                        .put("life", life)
                        .put("seq", ++sequence)
                        .put("epoch", token);
        List<Waiting> batch = new ArrayList<>();
        ArrayNode beats = body.putArray("beats");
        int bytes = 0;
        while (!waiting.isEmpty() && bytes < MOST_BYTES) {
            Waiting next = waiting.poll();
            batch.add(next);
            Known last = known.get(next.report.machine());
            if (!next.whole && last != null && last.passedOn && repeats(next.report, last.report)) {
                beats.addArray()
                        .add(next.report.machine())
                        .add(next.report.tenure())
                        .add(last.report.serial())
                        .add(next.report.serial())
                        .add(next.report.token());
                bytes += 64;
            } else {
                beats.addRawValue(RelayMessages.raw(next.raw));
                bytes += next.raw.length;
            }
        }
        ArrayNode answers = body.putArray("heard");
        while (!heard.isEmpty() && bytes < MOST_BYTES) {
            byte[] raw = heard.poll();
            answers.addRawValue(RelayMessages.raw(raw));
            bytes += raw.length;
        }
        ArrayNode kept = body.putArray("kept");
        while (!keptToSend.isEmpty() && bytes < MOST_BYTES) {
            Known last = known.get(keptToSend.poll());
            if (last != null) {
                kept.addObject()
                        .put("ageMs", Math.round((now - last.at) * 1000))
                        .putRawValue("report", RelayMessages.raw(last.raw));
                bytes += last.raw.length;
            }
        }
        Settings.Member to = leader;
        // Well within a worker's patience, so that it can still be answered without orders, also
        // one that waits behind these.
        client.send(
                to.address().host(),
                to.address().port(),
                1,
                "POST",
                "/peer/relay",
                Json.write(body),
                Math.round(1000 * Math.min(reportS / 2, PATIENCE_S / 3)),
                outcome -> loop.post(() -> answered(to, now, batch, outcome)));
    }

    private static boolean repeats(Report now, Report before) {
        return now.tenure() == before.tenure()
                && now.noticeS() == null
                && before.noticeS() == null
                && now.address().equals(before.address())
                && now.lines().equals(before.lines());
    }

    private void answered(Settings.Member from, double sent, List<Waiting> batch, Outcome outcome) {
        underWay = false;
        Answer answer =
                outcome instanceof Outcome.Answered a && a.status() == 200
                        ? RelayMessages.readAnswer(a.json(), batch.size())
                        : null;
        if (answer == null || from != leader) {
            batch.forEach(
                    w -> {
                        Known last = known.get(w.report.machine());
                        if (last != null) {
                            last.passedOn = false;
                        }
                        w.done.accept(null);
                    });
            return;
        }
        token = Math.max(token, answer.token());
        live = answer.live();
        linked = true;
        linkedAt = Math.max(linkedAt, sent);
        for (int i = 0; i < batch.size(); i++) {
            Waiting w = batch.get(i);
            if (answer.verdicts().get(i) instanceof Verdict.WantsWhole && !w.whole) {
                w.whole = true;
                waiting.add(w);
                continue;
            }
            if (answer.verdicts().get(i) instanceof Verdict.Orders orders) {
                remember(
                        w.report,
                        w.raw,
                        settledUpTo(Order.anyStop(orders.orders()), sent - answer.contactAgoS()));
                Known last = known.get(w.report.machine());
                last.passedOn = last.report == w.report;
            }
            w.done.accept(answer.verdicts().get(i));
        }
        if (known.size() > 64) {
            double old = loop.now() - settings.deployment().workers().cancelS();
            known.values().removeIf(k -> k.at < old);
        }
    }
}
