package io.pepperfield.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.Json;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Requests that a user has no good reason for, and the answers that they must get. */
final class InvalidRequests {

    /** Ids from here on are never accepted. */
    private static final int FIRST_REFUSABLE_ID = 900_000;

    /** Answers from here on ask the user to come back, and decide nothing. */
    private static final int FIRST_RETRY_STATUS = 429;

    private static final int KINDS = 9;

    private final SimWorld world;
    private final SimUserClient client;
    private final Map<String, SimJob> jobs;
    private int nextRefusableId = FIRST_REFUSABLE_ID;

    InvalidRequests(SimWorld world, SimUserClient client, Map<String, SimJob> jobs) {
        this.world = world;
        this.client = client;
        this.jobs = jobs;
    }

    /** Asks about a job that nobody submitted. */
    void queryUnknownJob() {
        expect(UserRequest.statusOfUnknownJob("run-999999"), 404, "invented");
    }

    /** One request, drawn at random. */
    void sendOne() {
        Optional<SimJob> job = randomJob();
        ObjectNode good = acceptableJob();
        switch (world.random.nextInt(KINDS)) {
            case 0, 1 -> job.ifPresent(this::repeatSubmission);
            case 2 -> job.ifPresent(this::submitOtherBody);
            case 3 -> job.filter(SimJob::isFinished).ifPresent(this::repeatCancellation);
            case 4 ->
                    expect(UserRequest.cancellation(good.path("nameId").asText()), 404, "invented");
            case 5 -> queryUnknownJob();
            case 6 -> expectRefusal(good.put("vcpus", SimMachines.CPUS + 1), 422);
            case 7 -> expectRefusal(good.put("owner", "nobody"), 422);
            default -> expectRefusal(good.without(List.of("shards")), 400);
        }
    }

    private Optional<SimJob> randomJob() {
        List<SimJob> known = jobs.values().stream().filter(job -> job.accepted).toList();
        return known.isEmpty()
                ? Optional.empty()
                : Optional.of(known.get(world.random.nextInt(known.size())));
    }

    private ObjectNode acceptableJob() {
        return JobPlan.array(
                        nextRefusableId++, "batch", "red", "standard", 1, 1, List.of(1.0), true)
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

    /** A job that must not be accepted, and that nobody may know afterwards. */
    private void expectRefusal(ObjectNode body, int status) {
        expect(UserRequest.submission(Json.write(body)), status, "wrongly_accepted");
        String id = body.path("nameId").asText();
        world.after(2, () -> expect(UserRequest.statusOfUnknownJob(id), 404, "invented"));
    }

    /** Any other answer breaks a rule, but for those that ask the user to come back. */
    private void expect(UserRequest request, int status, String rule) {
        int node = client.randomNode();
        client.send(
                node,
                request,
                answer -> answer.ifPresent(given -> check(given, request, node, status, rule)));
    }

    private void check(
            HttpOutcome.Answered answer, UserRequest request, int node, int status, String rule) {
        if (answer.status() == status || answer.status() >= FIRST_RETRY_STATUS) {
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
                        + " instead of "
                        + status);
    }
}
