package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.LinearizableReads.ReadOutcome;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.Keys;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.IntUnaryOperator;

/**
 * Submissions, queries and cancellations, on any node; what is told about a job is as {@link
 * LinearizableReads} has it.
 */
public final class UserRequests {

    /** Whether a job can ever run: null, or why not; throws where that cannot be decided yet. */
    public interface Feasibility {
        /** Why the job can never run, or null where it can. */
        String infeasibilityReason(JobSpec job) throws UndecidedException;
    }

    /** The machine types are not known yet. */
    public static final class UndecidedException extends Exception {}

    private static final String STORE_UNAVAILABLE = "the state service does not answer";
    private static final HttpReply JOB_NOT_FOUND = HttpReply.error(404, "no such job");

    private final Loop loop;
    private final LinearizableReads reads;
    private final Feasibility feasibility;
    private final SubmissionPolicy policy;
    private final CreateIfAbsent submissions;
    private final CreateIfAbsent cancellations;
    private final IntSupplier tasksPerRunRecord;
    private final int maxValueBytes;
    private final int maxUnknownQueries;
    private final Consumer<String> onCancelled;

    /** Questions about jobs that this node knows nothing of, waiting for their confirmation. */
    private int unknownQueriesInFlight;

    /**
     * @param linesInRecord tasks in a run record of a new job, given how many the first stored form
     *     takes
     * @param cancelled told of each job that has been cancelled through this node, when its user is
     */
    public UserRequests(
            Loop loop,
            JobIndex catalog,
            ReplicaSynchronizer sync,
            KeyValueStore state,
            Feasibility feasibility,
            SubmissionPolicy policy,
            int mostChanges,
            double valueKb,
            double changesPerS,
            int mostUnknownQueries,
            IntUnaryOperator linesInRecord,
            Consumer<String> cancelled) {
        this.loop = loop;
        this.reads = new LinearizableReads(catalog, sync);
        this.feasibility = feasibility;
        this.policy = policy;
        this.maxUnknownQueries = mostUnknownQueries;
        this.onCancelled = cancelled;
        this.maxValueBytes = (int) (valueKb * 1024 * 0.9);
        // A run record takes up to about 60 bytes a task; half of a value leaves room for long
        // machine names.
        int linesInFirstForm = Math.max(1, (int) (valueKb * 1024 / 120));
        this.tasksPerRunRecord = () -> linesInRecord.applyAsInt(linesInFirstForm);
        this.submissions =
                new CreateIfAbsent(
                        loop,
                        state,
                        KeyValueStore.RequestPriority.SUBMISSION,
                        mostChanges,
                        40 * 1024,
                        changesPerS);
        this.cancellations =
                new CreateIfAbsent(
                        loop,
                        state,
                        KeyValueStore.RequestPriority.CANCELLATION,
                        mostChanges,
                        40 * 1024,
                        changesPerS);
    }

    /** Sends what has been gathered for the state service; called after each batch of commands. */
    public void flush() {
        cancellations.flush();
        submissions.flush();
    }

    /** Accepts a job once it is durable, and answers its user. */
    public void submit(byte[] body, Consumer<HttpReply> answer) {
        JsonNode json = Json.read(body);
        String id = JobMessages.jobId(json);
        if (!json.isObject() || id.isEmpty()) {
            answer.accept(
                    HttpReply.error(
                            400,
                            json.isMissingNode()
                                    ? "the body is not JSON"
                                    : "nameId: want run- and at least six digits"));
            return;
        }
        if (reads.isKnown(id)) {
            query(id, answer);
            return;
        }
        JobSpec job;
        try {
            job = JobMessages.decodeSubmission(json, loop.wallMs(), tasksPerRunRecord.getAsInt());
        } catch (JobMessages.InvalidSubmissionException e) {
            answerUnlessKnown(id, HttpReply.error(400, e.getMessage()), answer);
            return;
        }
        JsonNode durable = JobCodec.encodeSpec(job);
        String tooLong = oversizeReason(job, Json.write(durable).length);
        if (tooLong != null) {
            answerUnlessKnown(id, HttpReply.error(400, tooLong), answer);
            return;
        }
        String refusal;
        try {
            refusal = feasibility.infeasibilityReason(job);
        } catch (UndecidedException e) {
            answerUnlessKnown(
                    id, HttpReply.unavailable("the machine types are not known yet"), answer);
            return;
        }
        if (refusal != null) {
            answerUnlessKnown(id, HttpReply.error(422, refusal), answer);
            return;
        }
        if (job.dependencies().stream().allMatch(reads::isKnown)) {
            accept(job, durable, answer);
            return;
        }
        // What it needs may have been accepted a moment ago by another node; what nobody has
        // accepted by now is refused.
        reads.read(
                id,
                reading -> {
                    String unknownPrerequisite =
                            job.dependencies().stream()
                                    .filter(needed -> !reads.isKnown(needed))
                                    .findFirst()
                                    .orElse(null);
                    if (reading instanceof ReadOutcome.Accepted accepted) {
                        answer.accept(HttpReply.json(200, accepted.job().statusAnswer()));
                    } else if (reading instanceof ReadOutcome.NeverAccepted
                            && unknownPrerequisite == null) {
                        accept(job, durable, answer);
                    } else {
                        answer.accept(
                                notKnownReply(
                                        reading,
                                        HttpReply.error(
                                                422,
                                                "awaits: "
                                                        + unknownPrerequisite
                                                        + " was never accepted")));
                    }
                });
    }

    /** Which field makes the description too long to be stored, or null. */
    private String oversizeReason(JobSpec job, int bytes) {
        if (bytes <= maxValueBytes) {
            return null;
        }
        int listBytes = JobCodec.dependenciesBytes(job);
        return bytes - listBytes < maxValueBytes
                ? "awaits: want at most "
                        + (maxValueBytes - bytes + listBytes)
                        + " bytes of JSON beside the other fields, not "
                        + listBytes
                : "flavours and names: want at most "
                        + maxValueBytes
                        + " bytes in all, not "
                        + (bytes - listBytes);
    }

    private void accept(JobSpec job, JsonNode durable, Consumer<HttpReply> answer) {
        String id = job.id();
        // Asked again while its creation waits, it costs nothing more.
        if (!submissions.isQueued(Keys.JOB_PREFIX + id)
                && policy.decide(job) instanceof SubmissionPolicy.Decision.Refused refused) {
            answer.accept(HttpReply.unavailable(refused.reason(), refused.retryAfterS()));
            return;
        }
        submissions.create(
                Keys.JOB_PREFIX + id,
                durable,
                result -> {
                    switch (result) {
                        case CREATED ->
                                answer.accept(
                                        HttpReply.json(
                                                201,
                                                JobMessages.briefStatusAnswer(id, Status.PENDING)));
                        case EXISTS -> query(id, answer);
                        case UNAVAILABLE -> answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
                        case THROTTLED -> {
                            policy.storeThrottled();
                            answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
                        }
                        case TOO_MANY -> answer.accept(tooManyReply());
                    }
                });
    }

    /** By then what waits now has been written; to come back sooner would only add to the crowd. */
    private static HttpReply tooManyReply() {
        return HttpReply.unavailable(
                "more is submitted than can be written",
                (int) Math.ceil(CreateIfAbsent.MAX_QUEUE_WAIT_S));
    }

    /**
     * A known id gets 200 whatever its body says: the job was accepted, perhaps by another node and
     * a moment ago.
     */
    private void answerUnlessKnown(String id, HttpReply refusal, Consumer<HttpReply> answer) {
        reads.read(
                id,
                reading ->
                        answer.accept(
                                reading instanceof ReadOutcome.Accepted accepted
                                        ? statusReply(accepted.job())
                                        : notKnownReply(reading, refusal)));
    }

    private static HttpReply statusReply(JobRecord job) {
        return job.unreadable() && job.finalStatus() == null
                ? HttpReply.unavailable("a record of the job is of a form that is not known here")
                : HttpReply.json(200, job.statusAnswer());
    }

    private static HttpReply notKnownReply(ReadOutcome reading, HttpReply refusal) {
        return reading instanceof ReadOutcome.NeverAccepted
                ? refusal
                : HttpReply.unavailable(STORE_UNAVAILABLE);
    }

    /** Answers a user's query for a job's state. */
    public void query(String id, Consumer<HttpReply> answer) {
        if (reads.isKnown(id)) {
            answerUnlessKnown(id, JOB_NOT_FOUND, answer);
        } else if (unknownQueriesInFlight >= maxUnknownQueries) {
            // Questions about jobs that nobody submitted must leave room for those about jobs that
            // somebody did.
            answer.accept(HttpReply.unavailable("too many questions about unknown jobs"));
        } else {
            unknownQueriesInFlight++;
            answerUnlessKnown(
                    id,
                    JOB_NOT_FOUND,
                    reply -> {
                        unknownQueriesInFlight--;
                        answer.accept(reply);
                    });
        }
    }

    /** Cancels a job durably, and answers its user. */
    public void cancel(String id, Consumer<HttpReply> answer) {
        if (reads.isKnown(id)) {
            cancelKnownJob(id, answer);
            return;
        }
        reads.read(
                id,
                reading -> {
                    if (reading instanceof ReadOutcome.Accepted) {
                        cancelKnownJob(id, answer);
                    } else {
                        answer.accept(notKnownReply(reading, JOB_NOT_FOUND));
                    }
                });
    }

    /**
     * Whether the job is over already the state service decides, where its end is written once;
     * unless this node knows it.
     */
    private void cancelKnownJob(String id, Consumer<HttpReply> answer) {
        if (reads.isFinal(id)) {
            answerFinalStatus(id, answer);
            return;
        }
        cancellations.create(
                Keys.FINAL_STATE_PREFIX + id,
                JobCodec.encodeFinalStatus(Status.CANCELLED),
                result -> {
                    switch (result) {
                        case CREATED -> {
                            onCancelled.accept(id);
                            answer.accept(
                                    HttpReply.json(
                                            200,
                                            JobMessages.briefStatusAnswer(id, Status.CANCELLED)));
                        }
                        case EXISTS -> answerFinalStatus(id, answer);
                        case UNAVAILABLE, THROTTLED ->
                                answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
                        case TOO_MANY -> answer.accept(tooManyReply());
                    }
                });
    }

    private void answerFinalStatus(String id, Consumer<HttpReply> answer) {
        reads.read(
                id,
                reading ->
                        answer.accept(
                                reading instanceof ReadOutcome.Accepted accepted
                                                && accepted.job().finalStatus() != null
                                        ? HttpReply.json(
                                                200,
                                                JobMessages.briefStatusAnswer(
                                                        id, accepted.job().finalStatus()))
                                        : HttpReply.unavailable(STORE_UNAVAILABLE)));
    }
}
