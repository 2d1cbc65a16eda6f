package io.pepperfield.standin;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.OutboundRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** Asks controllers as a user, and checks what they say of a job. */
final class SimUserClient {

    /** Goes on with this status where no answer came. */
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

    void reportViolation(String what) {
        violations.add(world.now() + " " + what);
    }

    void send(int node, UserRequest request, Consumer<Optional<HttpOutcome.Answered>> onAnswer) {
        world.from("users")
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

    /** Asks a node about a job, and checks the answer. */
    void sendChecked(SimJob job, int node, UserRequest request) {
        sendChecked(job, node, request, status -> {});
    }

    /**
     * Asks a node about a job, checks the answer, and goes on with its status, or {@link
     * #NO_ANSWER}.
     */
    void sendChecked(SimJob job, int node, UserRequest request, IntConsumer onStatus) {
        Question question =
                new Question(
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
                    answer.ifPresent(given -> check(question, given));
                    onStatus.accept(answer.map(HttpOutcome.Answered::status).orElse(NO_ANSWER));
                });
    }

    /** What was known of a job when its user asked. */
    private record Question(
            SimJob job,
            boolean accepted,
            String statusBefore,
            double askedAt,
            double ancestorCancelledAt,
            String description) {}

    private void check(Question question, HttpOutcome.Answered answer) {
        SimJob job = question.job;
        int status = answer.status();
        if (status == 404 && question.accepted || status == 400 || status == 422) {
            reportViolation(
                    "forgotten: " + job.plan.id() + " got " + status + ", " + question.description);
        } else if (status == 200 || status == 201) {
            String told = answer.json().path("status").asText();
            if (SimJob.isFinal(question.statusBefore) && !told.equals(question.statusBefore)) {
                reportViolation(
                        "went_back: "
                                + job.plan.id()
                                + " was "
                                + question.statusBefore
                                + ", is "
                                + told
                                + ", "
                                + question.description);
            }
            if (status == 200) {
                rules.checkAnswer(job, told, question.askedAt, question.ancestorCancelledAt);
            }
            recordStatus(job, told);
        }
    }

    private void recordStatus(SimJob job, String status) {
        job.lastAnswerAt = world.now();
        if (status.equals("done") && !job.isComplete()) {
            reportViolation("not_done: " + job.plan.id() + " has completed " + job.completedTasks);
        }
        if (status.equals("cancelled")) {
            if (!rules.isCancellationRequested(job)) {
                reportViolation("went_back: " + job.plan.id() + " is cancelled and nobody asked");
            }
            if (Double.isNaN(job.cancelledAt)) {
                job.cancelledAt = world.now();
            }
        }
        if (!job.isFinished()) {
            job.lastStatus = status;
        } else if (SimJob.isFinal(status) && !status.equals(job.lastStatus)) {
            // Whenever the two were asked: at most one of them is true.
            reportViolation(
                    "went_back: " + job.plan.id() + " is " + job.lastStatus + " and " + status);
        }
    }
}
