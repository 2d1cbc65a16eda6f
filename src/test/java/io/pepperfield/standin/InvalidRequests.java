package io.pepperfield.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.Json;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Sends redundant or invalid requests as a user, and checks the responses. */
final class InvalidRequests {

    /** First id of the jobs that must be rejected. */
    private static final int FIRST_REJECTED_ID = 900_000;

    /** Statuses from this one on mean that the request must be retried, without a decision. */
    private static final int FIRST_RETRY_STATUS = 429;

    private static final int KINDS = 9;

    private final SimWorld world;
    private final SimUserClient client;
    private final Map<String, SimJob> jobs;
    private int nextRejectedId = FIRST_REJECTED_ID;

    InvalidRequests(SimWorld world, SimUserClient client, Map<String, SimJob> jobs) {
        this.world = world;
        this.client = client;
        this.jobs = jobs;
    }

    /** Queries the status of a job that was never submitted. */
    void queryUnknownJob() {
        expect(UserRequest.statusOfUnknownJob("run-999999"), 404, "invented");
    }

    /** Sends one random request. */
    void sendOne() {
        Optional<SimJob> job = randomJob();
        ObjectNode valid = validJob();
        switch (world.random.nextInt(KINDS)) {
            case 0, 1 -> job.ifPresent(this::repeatSubmission);
            case 2 -> job.ifPresent(this::submitOtherBody);
            case 3 -> job.filter(SimJob::isFinished).ifPresent(this::repeatCancellation);
            case 4 ->
                    expect(
                            UserRequest.cancellation(valid.path("nameId").asText()),
                            404,
                            "invented");
            case 5 -> queryUnknownJob();
            case 6 -> expectRejection(valid.put("vcpus", SimMachines.CPUS + 1), 422);
            case 7 -> expectRejection(valid.put("owner", "nobody"), 422);
            default -> expectRejection(valid.without(List.of("shards")), 400);
        }
    }

    private Optional<SimJob> randomJob() {
        List<SimJob> accepted = jobs.values().stream().filter(job -> job.accepted).toList();
        return accepted.isEmpty()
                ? Optional.empty()
                : Optional.of(accepted.get(world.random.nextInt(accepted.size())));
    }

    private ObjectNode validJob() {
        return JobPlan.array(nextRejectedId++, "batch", "red", "standard", 1, 1, List.of(1.0), true)
                .body();
    }

    private void repeatSubmission(SimJob job) {
        client.sendChecked(job, client.randomNode(), UserRequest.submission(job.plan));
    }

    private void submitOtherBody(SimJob job) {
        ObjectNode other = job.plan.body();
        other.put("vcpus", 1000).remove(world.random.nextBoolean() ? "rank" : "dueS");
        client.sendChecked(job, client.randomNode(), UserRequest.submission(Json.write(other)));
    }

    private void repeatCancellation(SimJob job) {
        client.sendChecked(job, client.randomNode(), UserRequest.cancellation(job.plan.id()));
    }

    /** Submits a job that must be rejected, and checks that its status is unknown 2 s later. */
    private void expectRejection(ObjectNode body, int status) {
        expect(UserRequest.submission(Json.write(body)), status, "wrongly_accepted");
        String id = body.path("nameId").asText();
        world.after(2, () -> expect(UserRequest.statusOfUnknownJob(id), 404, "invented"));
    }

    /**
     * Sends a request and reports a violation for any response that has neither the expected status
     * nor a retry status.
     */
    private void expect(UserRequest request, int expectedStatus, String rule) {
        int node = client.randomNode();
        client.send(
                node,
                request,
                answer ->
                        answer.ifPresent(
                                response -> check(response, request, node, expectedStatus, rule)));
    }

    private void check(
            HttpOutcome.Answered answer,
            UserRequest request,
            int node,
            int expectedStatus,
            String rule) {
        if (answer.status() == expectedStatus || answer.status() >= FIRST_RETRY_STATUS) {
            return;
        }
        client.reportViolation(
                (answer.status() < 300 ? rule : "wrong_answer")
                        + ": "
                        + answer.status()
                        + " for "
                        + request.method()
                        + " "
                        + request.path()
                        + " at node-"
                        + node
                        + ", expected "
                        + expectedStatus);
    }
}
