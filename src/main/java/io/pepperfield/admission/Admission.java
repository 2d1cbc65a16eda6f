package io.pepperfield.admission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Reply;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.Peers;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Fair admission on one controller: asks whoever leads for allotments, decides about submissions by
 * them, and answers the others while this controller leads.
 */
public final class Admission {

    /** Where the leader is asked. */
    public static final String PATH = "/peer/admission";

    private static final int NOT_FOUND = 404;

    /** A leader without the feature is asked again after so many allotments' time. */
    private static final double UNKNOWN_THERE = 4;

    private final Loop loop;
    private final Settings settings;
    private final Peers peers;
    private final Leadership lead;
    private final AdmissionLimits limits;
    private final SubmissionAdmission submissions;
    private final String process = UUID.randomUUID().toString();
    private AllotmentIssuer issuer;
    private QueueWaitPredictor queues;
    private long sequence;
    private double tickAt = Double.NEGATIVE_INFINITY;
    private double askAt = Double.NEGATIVE_INFINITY;
    private boolean asking;

    /**
     * Creates the admission of one controller, which has its fixed share from now on.
     *
     * @param contactAt when the state service last answered, a loop time
     */
    public Admission(
            Loop loop, Settings settings, Peers peers, Leadership lead, DoubleSupplier contactAt) {
        this.loop = loop;
        this.settings = settings;
        this.peers = peers;
        this.lead = lead;
        this.limits = AdmissionLimits.of(settings);
        this.submissions =
                new SubmissionAdmission(
                        loop,
                        limits,
                        settings.node(),
                        contactAt,
                        settings.deployment().workers().reportS());
        peers.serve(PATH, this::answer);
    }

    /** Decides about submissions. */
    public SubmissionPolicy policy() {
        return submissions;
    }

    /** This node leads from now on, with that token. */
    public void elected(long token) {
        issuer = new AllotmentIssuer(limits, settings.node(), token, loop.now());
        queues = new QueueWaitPredictor(loop.now());
    }

    /** The leader's token was minted anew. */
    public void renewedToken(long token) {
        if (issuer != null) {
            issuer.token(token);
        }
    }

    /** This node does not lead any more. */
    public void deposed() {
        issuer = null;
        queues = null;
    }

    /** The queues of this node's leadership, or null while another node leads. */
    public QueueWaitPredictor queues() {
        return queues;
    }

    /** Whether the next tick divides, or asks for an allotment. */
    public boolean isDue() {
        return loop.now() >= tickAt;
    }

    /** To be called often. */
    public void tick() {
        if (!isDue()) {
            return;
        }
        double now = loop.now();
        tickAt = now + limits.intervalS();
        submissions.tick();
        if (issuer != null && lead.confirmed()) {
            issuer.waits(queues.waitsFrom(limits.waitingLimitS() / 2));
            Allotment own = issuer.issue(submissions.report(process, ++sequence), now);
            submissions.use(own, now, lead.leaderToken());
        } else {
            ask(now);
        }
    }

    private void ask(double now) {
        Settings.Member leader =
                settings.members().stream()
                        .filter(member -> member.node().equals(lead.leader()))
                        .findFirst()
                        .orElse(null);
        if (leader == null || asking || now < askAt) {
            return;
        }
        asking = true;
        byte[] report = AdmissionMessages.write(submissions.report(process, ++sequence));
        peers.ask(leader, PATH, report, limits.durationS(), outcome -> answered(now, outcome));
    }

    private void answered(double sentAt, Outcome outcome) {
        asking = false;
        if (!(outcome instanceof Outcome.Answered answer)) {
            return;
        }
        if (answer.status() == NOT_FOUND) {
            // A release without the feature leads, or one where it is off.
            askAt = loop.now() + UNKNOWN_THERE * limits.durationS();
            return;
        }
        Allotment allotment =
                answer.status() == 200 ? AdmissionMessages.readAllotment(answer.json()) : null;
        if (allotment != null) {
            submissions.use(allotment, sentAt, lead.leaderToken());
        }
    }

    /** Answers another controller's report. */
    private void answer(Call call, Consumer<Reply> answer) {
        DemandReport report = AdmissionMessages.readReport(Json.read(call.body()));
        if (report == null) {
            answer.accept(Reply.error(400, "not a report of demand"));
        } else if (issuer == null || !lead.confirmed()) {
            answer.accept(Reply.later("not leading"));
        } else {
            Allotment allotment = issuer.issue(report, loop.now());
            answer.accept(
                    allotment == null
                            ? Reply.error(409, "a report of an earlier process, or a copy")
                            : new Reply(200, AdmissionMessages.write(allotment), 0));
        }
    }

    /** Adds what operators see to the overview of a node. */
    public void describe(ObjectNode overview) {
        new AdmissionOverview(limits, submissions, issuer, loop.now())
                .describe(overview.putObject("admission"));
    }

    /** Admissions per minute that this controller may use now. */
    public int perMinute() {
        return submissions.perMinute();
    }
}
