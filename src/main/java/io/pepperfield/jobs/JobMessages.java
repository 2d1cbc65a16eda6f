package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.regex.Pattern;

/**
 * The users' messages; with {@link SubmissionDecoder} the only place that knows their field names.
 */
public final class JobMessages {

    /** A submission is invalid; the message names the field and says what is wanted. */
    public static final class InvalidSubmissionException extends Exception {
        InvalidSubmissionException(String message) {
            super(message);
        }
    }

    private static final Pattern JOB_ID = Pattern.compile("run-[0-9]{6,15}");

    private JobMessages() {}

    /** Whether the text may name a job. */
    public static boolean isValidId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /** The id that a submission carries, or empty where it carries none of the right form. */
    public static String jobId(JsonNode body) {
        JsonNode id = body.path("nameId");
        return id.isTextual() && isValidId(id.textValue()) ? id.textValue() : "";
    }

    /**
     * Reads and checks a submission.
     *
     * @param nowMs time of day of the submission in milliseconds
     * @param tasksPerRunRecord how many tasks are to share a run record
     * @throws InvalidSubmissionException names the first field that is missing or invalid
     */
    public static JobSpec decodeSubmission(JsonNode body, long nowMs, int tasksPerRunRecord)
            throws InvalidSubmissionException {
        return new SubmissionDecoder(body).decode(nowMs, tasksPerRunRecord);
    }

    /** The answer to a query for a job's state, with its counts of tasks. */
    public static ObjectNode statusAnswer(String id, Status status, int done, int running) {
        return briefStatusAnswer(id, status).put("done", done).put("running", running);
    }

    /** The answer that names a job and its state alone. */
    public static ObjectNode briefStatusAnswer(String id, Status status) {
        return Json.object().put("nameId", id).put("status", status.wireName());
    }
}
