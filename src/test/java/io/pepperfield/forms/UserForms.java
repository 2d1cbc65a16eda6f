package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.jobs.TaskState.Phase;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.store.Keys;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** Job submissions of users, and the replies about jobs. */
final class UserForms {

    private static final String JOB_ID = "run-000412";
    private static final long NOW_MS = 1_764_648_000_000L;
    private static final int TASKS_PER_RUN_RECORD = 68;

    private UserForms() {}

    static void write(GoldenFile file) {
        JsonNode submission = GoldenFile.readJsonInput("submission.json");
        file.addWithFieldMutations("submission", submission, UserForms::decodeSubmission);
        for (String shape : List.of("sweep", "standing", "gang", "swarm")) {
            file.add("shape " + shape, decodeWithField(submission, "shape", shape));
        }
        for (String rank : List.of("production", "urgent", "standard", "best_effort", "low")) {
            file.add("rank " + rank, decodeWithField(submission, "rank", rank));
        }
        for (String id : List.of("run-000001", "run-12345", "RUN-000001", "run-0000001x")) {
            file.add("id " + id, String.valueOf(JobMessages.isValidId(id)));
        }
        for (Status status : Status.values()) {
            file.add("state", JobMessages.statusAnswer(JOB_ID, status, 3, 2));
            file.add("brief state", JobMessages.briefStatusAnswer(JOB_ID, status));
        }
        writeStatusAnswers(file);
        file.add("answer without a body", HttpReply.empty(200));
        file.add("error", HttpReply.error(404, "no such path"));
        file.add("later", HttpReply.unavailable("not now"));
        file.add("later", HttpReply.unavailable("not now", 7));
    }

    private static String decodeSubmission(JsonNode body)
            throws JobMessages.InvalidSubmissionException {
        return new String(
                Json.write(
                        JobCodec.encodeSpec(
                                JobMessages.decodeSubmission(body, NOW_MS, TASKS_PER_RUN_RECORD))),
                StandardCharsets.UTF_8);
    }

    private static String decodeWithField(JsonNode submission, String field, String value) {
        ObjectNode body = ((ObjectNode) submission.deepCopy()).put(field, value);
        try {
            return decodeSubmission(body);
        } catch (JobMessages.InvalidSubmissionException e) {
            return "refused: " + e.getMessage();
        }
    }

    /**
     * Adds the status of a job with more pending dependencies than a reply lists, then of the job
     * when it is ready, when it has live, done and failed tasks, and when it is cancelled.
     */
    private static void writeStatusAnswers(GoldenFile file) {
        JobIndex jobIndex = new JobIndex(() -> 0);
        List<String> dependencies =
                IntStream.range(0, 18)
                        .mapToObj(i -> String.format(Locale.ROOT, "run-%06d", i))
                        .toList();
        JsonNode job =
                JobCodec.encodeSpec(
                        new JobSpecBuilder()
                                .id(JOB_ID)
                                .tasks(4)
                                .dependencies(dependencies)
                                .build());
        jobIndex.applyChange(Keys.JOB_PREFIX + JOB_ID, job);
        file.add("waits for others", jobIndex.get(JOB_ID).statusAnswer());
        dependencies.forEach(
                id -> {
                    jobIndex.applyChange(
                            Keys.JOB_PREFIX + id,
                            JobCodec.encodeSpec(new JobSpecBuilder().id(id).build()));
                    jobIndex.applyChange(Keys.FINAL_STATE_PREFIX + id, JobCodec.encodeDone(NOW_MS));
                });
        file.add("is ready", jobIndex.get(JOB_ID).statusAnswer());
        jobIndex.applyChange(
                Keys.runRecord(JOB_ID, 0),
                TaskState.encode(
                        List.of(
                                new TaskState(0, 1, Phase.LIVE, "host-000012", 1),
                                new TaskState(1, 1, Phase.DONE, "", 0),
                                new TaskState(2, 3, Phase.FAILED, "", 0))));
        file.add("runs", jobIndex.get(JOB_ID).statusAnswer());
        jobIndex.applyChange(
                Keys.FINAL_STATE_PREFIX + JOB_ID, JobCodec.encodeFinalStatus(Status.CANCELLED));
        file.add("is cancelled", jobIndex.get(JOB_ID).statusAnswer());
    }
}
