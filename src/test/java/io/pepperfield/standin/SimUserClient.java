package io.pepperfield.standin;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.OutboundRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** Sends requests to controllers as a user, and checks the responses about jobs. */
final class SimUserClient {

    /** Passed as the status if no response arrived. */
    static final int NO_ANSWER = 0;

    private static final int USER_PORT = 8080;

    private final SimWorld world;
    private final List<String> violations;
    private final PipelineRules rules;
    private final int nodeCount;

    SimUserClient(SimWorld world, List<String> violations, PipelineRules rules, int nodeCount) {
        this.world = world;
        this.violations = violations;
        this.rules = rules;
        this.nodeCount = nodeCount;
    }

    int randomNode() {
        return world.random.nextInt(nodeCount);
    }

    void reportViolation(String description) {
        violations.add(world.now() + " " + description);
    }

    void send(int node, UserRequest request, Consumer<Optional<HttpOutcome.Answered>> onAnswer) {
        world.senderFrom("users")
                .send(
                        new OutboundRequest(
                                "10.0.0." + (1 + node),
                                USER_PORT,
                                1,
                                request.method(),
                                request.path(),
                                request.body(),
                                request.deadlineMs()),
                        outcome ->
                                onAnswer.accept(
                                        outcome instanceof HttpOutcome.Answered answer
                                                ? Optional.of(answer)
                                                : Optional.empty()));
    }

    /** Sends a request about a job to a node, and checks the response. */
    void sendChecked(SimJob job, int node, UserRequest request) {
        sendChecked(job, node, request, status -> {});
    }

    /**
     * Sends a request about a job to a node, checks the response, and passes its status, or {@link
     * #NO_ANSWER}, to {@code onStatus}.
     */
    void sendChecked(SimJob job, int node, UserRequest request, IntConsumer onStatus) {
        RequestContext context =
                new RequestContext(
                        job,
                        job.accepted,
                        job.lastStatus,
                        world.now(),
                        rules.ancestorCancelledAt(job),
                        request.describe(world.now(), node));
        send(
                node,
                request,
                answer -> {
                    answer.ifPresent(response -> check(context, response));
                    onStatus.accept(answer.map(HttpOutcome.Answered::status).orElse(NO_ANSWER));
                });
    }

    /** State of a job, as its user knew it, when a request about it was sent. */
    private record RequestContext(
            SimJob job,
            boolean accepted,
            String statusBefore,
            double sentAt,
            double ancestorCancelledAt,
            String description) {}

    private void check(RequestContext context, HttpOutcome.Answered answer) {
        SimJob job = context.job;
        int status = answer.status();
        if (status == 404 && context.accepted || status == 400 || status == 422) {
            reportViolation(
                    "forgotten: "
                            + job.plan.id()
                            + " got status "
                            + status
                            + ", "
                            + context.description);
        } else if (status == 200 || status == 201) {
            String reported = answer.json().path("status").asText();
            if (SimJob.isFinal(context.statusBefore) && !reported.equals(context.statusBefore)) {
                reportViolation(
                        "went_back: "
                                + job.plan.id()
                                + " was "
                                + context.statusBefore
                                + ", is now "
                                + reported
                                + ", "
                                + context.description);
            }
            if (status == 200) {
                rules.checkAnswer(job, reported, context.sentAt, context.ancestorCancelledAt);
            }
            recordStatus(job, reported);
        }
    }

    private void recordStatus(SimJob job, String status) {
        job.lastAnswerAt = world.now();
        if (status.equals("done") && !job.isComplete()) {
            reportViolation(
                    "not_done: "
                            + job.plan.id()
                            + " is reported done with completed tasks "
                            + job.completedTasks);
        }
        if (status.equals("cancelled")) {
            if (!rules.isCancellationRequested(job)) {
                reportViolation(
                        "went_back: "
                                + job.plan.id()
                                + " is cancelled without a cancellation request");
            }
            if (Double.isNaN(job.cancelledAt)) {
                job.cancelledAt = world.now();
            }
        }
        if (!job.isFinished()) {
            job.lastStatus = status;
        } else if (SimJob.isFinal(status) && !status.equals(job.lastStatus)) {
            // A job has one final status, whichever of the two requests was sent first.
            reportViolation(
                    "went_back: " + job.plan.id() + " is " + job.lastStatus + " and " + status);
        }
    }
}
