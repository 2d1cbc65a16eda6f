package io.pepperfield.admission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.Peers;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Fair admission on one controller: requests allotments from the leader, admits or refuses
 * submissions within them, and issues allotments to the other controllers while this controller
 * leads.
 */
public final class Admission {

    /** Path of the leader's endpoint for demand reports. */
    public static final String PATH = "/peer/admission";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    /** Delay before the next request to a leader without the feature, in allotment durations. */
    private static final double UNSUPPORTED_RETRY_DURATIONS = 4;

    private final Loop loop;
    private final Settings settings;
    private final Peers peers;
    private final Leadership leadership;
    private final AdmissionLimits limits;
    private final SubmissionAdmission submissions;
    private final String processIncarnation = UUID.randomUUID().toString();
    private AllotmentIssuer issuer;
    private QueueWaitPredictor queueWaitPredictor;
    private long sequence;
    private double nextTickAt = Double.NEGATIVE_INFINITY;
    private double nextRequestAt = Double.NEGATIVE_INFINITY;
    private boolean requestInFlight;

    /**
     * Creates the admission of one controller, which starts with its fixed share.
     *
     * @param lastConfirmedAt loop time at which the state service last answered
     */
    public Admission(
            Loop loop,
            Settings settings,
            Peers peers,
            Leadership leadership,
            DoubleSupplier lastConfirmedAt) {
        this.loop = loop;
        this.settings = settings;
        this.peers = peers;
        this.leadership = leadership;
        this.limits = AdmissionLimits.of(settings);
        this.submissions =
                new SubmissionAdmission(
                        loop,
                        limits,
                        settings.node(),
                        lastConfirmedAt,
                        settings.deployment().workerTimings().heartbeatIntervalS());
        peers.addEndpoint(PATH, this::handleDemandReport);
    }

    /** Returns the policy that admits or refuses submissions. */
    public SubmissionPolicy submissionPolicy() {
        return submissions;
    }

    /** This node has become the leader, with this fencing token. */
    public void elected(FencingToken fencingToken) {
        issuer = new AllotmentIssuer(limits, settings.node(), fencingToken, loop.now());
        queueWaitPredictor = new QueueWaitPredictor(loop.now());
    }

    /** The fencing token of the current leadership term has been replaced. */
    public void fencingTokenRenewed(FencingToken renewed) {
        if (issuer != null) {
            issuer.renewFencingToken(renewed);
        }
    }

    /** This node is no longer the leader. */
    public void leadershipLost() {
        issuer = null;
        queueWaitPredictor = null;
    }

    /** Returns the queue wait predictor of this leader, or null while another node leads. */
    public QueueWaitPredictor queueWaitPredictor() {
        return queueWaitPredictor;
    }

    /** Whether the next call of {@link #tick} issues or requests an allotment. */
    public boolean isDue() {
        return loop.now() >= nextTickAt;
    }

    /** Issues or requests an allotment once per request interval; to be called more often. */
    public void tick() {
        if (!isDue()) {
            return;
        }
        double now = loop.now();
        nextTickAt = now + limits.requestIntervalS();
        submissions.tick();
        if (issuer != null && leadership.holdsValidLease()) {
            issuer.setQueueWaits(queueWaitPredictor.waitsOfAtLeast(limits.maxPredictedWaitS() / 2));
            DemandReport ownReport = submissions.demandReport(processIncarnation, ++sequence);
            issuer.issue(ownReport, now).ifPresent(allotment -> useAllotment(allotment, now));
        } else {
            requestAllotment(now);
        }
    }

    private void requestAllotment(double now) {
        Optional<Settings.Member> leader =
                settings.members().stream()
                        .filter(member -> member.node().equals(leadership.leaderNode()))
                        .findFirst();
        if (leader.isEmpty() || requestInFlight || now < nextRequestAt) {
            return;
        }
        requestInFlight = true;
        byte[] report =
                AdmissionMessages.write(submissions.demandReport(processIncarnation, ++sequence));
        peers.send(
                leader.get(),
                PATH,
                report,
                limits.allotmentDurationS(),
                outcome -> onAllotmentOutcome(now, outcome));
    }

    private void onAllotmentOutcome(double sentAt, HttpOutcome outcome) {
        requestInFlight = false;
        if (!(outcome instanceof HttpOutcome.Answered answer)) {
            return;
        }
        if (answer.status() == NOT_FOUND) {
            // The leader runs a release without the feature, or has it disabled.
            nextRequestAt = loop.now() + UNSUPPORTED_RETRY_DURATIONS * limits.allotmentDurationS();
            return;
        }
        if (answer.status() == OK) {
            AdmissionMessages.readAllotment(answer.json())
                    .ifPresent(allotment -> useAllotment(allotment, sentAt));
        }
    }

    private void useAllotment(Allotment allotment, double sentAt) {
        submissions.useAllotment(allotment, sentAt, leadership.highestFencingToken());
    }

    /** Handles a demand report of another controller. */
    private void handleDemandReport(InboundRequest request, Consumer<HttpReply> answer) {
        answer.accept(
                AdmissionMessages.readReport(Json.read(request.body()))
                        .map(this::replyTo)
                        .orElseGet(() -> HttpReply.error(BAD_REQUEST, "not a report of demand")));
    }

    private HttpReply replyTo(DemandReport report) {
        if (issuer == null || !leadership.holdsValidLease()) {
            return HttpReply.unavailable("not leading");
        }
        return issuer.issue(report, loop.now())
                .map(allotment -> new HttpReply(OK, AdmissionMessages.write(allotment), 0))
                .orElseGet(
                        () ->
                                HttpReply.error(
                                        CONFLICT, "a report of an earlier process, or a copy"));
    }

    /** Adds the state of admission to the overview of this node for operators. */
    public void describe(ObjectNode overview) {
        new AdmissionOverview(limits, submissions, issuer, loop.now())
                .describe(overview.putObject("admission"));
    }

    /** Returns the admission rate that this controller may currently use, per minute. */
    public int admissionsPerMinute() {
        return submissions.admissionsPerMinute();
    }
}
