package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.regex.Pattern;

/**
 * The messages of the user API. Their field names appear only here and in {@link
 * SubmissionDecoder}.
 */
public final class JobMessages {

    /** Thrown for an invalid submission; the message names the field and the expected value. */
    public static final class InvalidSubmissionException extends Exception {
        InvalidSubmissionException(String message) {
            super(message);
        }
    }

    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{6,15}");

    private JobMessages() {}

    /** Whether the text has the form of a job id. */
    public static boolean isValidId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /** Returns the job id of a submission, or an empty string if it is missing or malformed. */
    public static String jobId(JsonNode body) {
        JsonNode id = body.path("nameId");
        return id.isTextual() && isValidId(id.textValue()) ? id.textValue() : "";
    }

    /**
     * Decodes and validates a submission.
     *
     * @param nowMs wall-clock time of the submission in milliseconds
     * @param tasksPerRunRecord number of tasks per run record
     * @throws InvalidSubmissionException for the first missing or invalid field
     */
    public static JobSpec decodeSubmission(JsonNode body, long nowMs, int tasksPerRunRecord)
            throws InvalidSubmissionException {
        return new SubmissionDecoder(body).decode(nowMs, tasksPerRunRecord);
    }

    /** The reply to a status query, with the task counts. */
    public static ObjectNode statusAnswer(String id, Status status, int done, int running) {
        return briefStatusAnswer(id, status).put("done", done).put("running", running);
    }

    /** The reply with only a job's id and status. */
    public static ObjectNode briefStatusAnswer(String id, Status status) {
        return Json.object().put("nameId", id).put("status", status.wireName());
    }
}
