package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.LinearizableReads.ReadOutcome;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;

/**
 * Submissions, queries and cancellations, on any controller; what is told about a job is as {@link
 * LinearizableReads} has it. Confined to the event loop's thread, on which every answer is given.
 */
public final class UserRequests {

    /**
     * What users' requests may take of the state service.
     *
     * @param maxMutations in one transaction; it has as many preconditions, which leaves room for
     *     that of the stored-state version
     * @param maxValueKib the largest stored value
     * @param mutationsPerS mutations per second for submissions, and as many for cancellations
     * @param maxUnknownQueries queries about unknown jobs that may wait for their confirmation
     * @param tasksPerRunRecord tasks in a run record of a new job, given how many the first stored
     *     form takes
     */
    public record Limits(
            int maxMutations,
            double maxValueKib,
            double mutationsPerS,
            int maxUnknownQueries,
            IntUnaryOperator tasksPerRunRecord) {

        private static final int BYTES_PER_KIB = 1024;

        /** Part of a value that a job's description may take. */
        private static final double SPEC_PART = 0.9;

        /**
         * A task takes up to about 60 bytes of a run record; half of a value leaves room for long
         * machine names.
         */
        private static final int RESERVED_BYTES_PER_TASK = 120;

        private int maxSpecBytes() {
            return (int) (maxValueKib * BYTES_PER_KIB * SPEC_PART);
        }

        private int tasksInRunRecord() {
            int inFirstForm = (int) (maxValueKib * BYTES_PER_KIB / RESERVED_BYTES_PER_TASK);
            return tasksPerRunRecord.applyAsInt(Math.max(1, inFirstForm));
        }
    }

    private static final int MAX_TRANSACTION_BYTES = 40 * 1024;
    private static final String STORE_UNAVAILABLE = "the state service does not answer";
    private static final HttpReply JOB_NOT_FOUND = HttpReply.error(404, "no such job");

    private final Loop loop;
    private final LinearizableReads reads;
    private final Feasibility feasibility;
    private final SubmissionPolicy policy;
    private final Limits limits;
    private final CreateIfAbsent submissions;
    private final CreateIfAbsent cancellations;
    private final Consumer<String> onCancelled;

    /** Queries about jobs that this controller knows nothing of, waiting for their confirmation. */
    private int unknownQueriesInFlight;

    /**
     * @param onCancelled told of each job that has been cancelled through this controller, when its
     *     user is
     */
    public UserRequests(
            Loop loop,
            JobIndex jobIndex,
            ReplicaSynchronizer synchronizer,
            KeyValueStore store,
            Feasibility feasibility,
            SubmissionPolicy policy,
            Limits limits,
            Consumer<String> onCancelled) {
        this.loop = loop;
        this.reads = new LinearizableReads(jobIndex, synchronizer);
        this.feasibility = feasibility;
        this.policy = policy;
        this.limits = limits;
        this.onCancelled = onCancelled;
        this.submissions = creations(store, RequestPriority.SUBMISSION);
        this.cancellations = creations(store, RequestPriority.CANCELLATION);
    }

    private CreateIfAbsent creations(KeyValueStore store, RequestPriority priority) {
        return new CreateIfAbsent(
                loop,
                store,
                priority,
                limits.maxMutations(),
                MAX_TRANSACTION_BYTES,
                limits.mutationsPerS());
    }

    /** Sends what has been gathered for the state service; called after each batch of commands. */
    public void flush() {
        cancellations.flush();
        submissions.flush();
    }

    // ---- submission

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
            job = JobMessages.decodeSubmission(json, loop.wallMs(), limits.tasksInRunRecord());
        } catch (JobMessages.InvalidSubmissionException e) {
            answerUnlessKnown(id, HttpReply.error(400, e.getMessage()), answer);
            return;
        }
        JsonNode stored = JobCodec.encodeSpec(job);
        Optional<HttpReply> refusal = refusal(job, Json.write(stored).length);
        if (refusal.isPresent()) {
            answerUnlessKnown(id, refusal.get(), answer);
        } else if (job.dependencies().stream().allMatch(reads::isKnown)) {
            accept(job, stored, answer);
        } else {
            acceptOnceDependenciesAreKnown(job, stored, answer);
        }
    }

    private Optional<HttpReply> refusal(JobSpec job, int storedBytes) {
        Optional<String> oversize = oversizeReason(job, storedBytes);
        if (oversize.isPresent()) {
            return Optional.of(HttpReply.error(400, oversize.get()));
        }
        Feasibility.Verdict verdict = feasibility.check(job);
        if (verdict instanceof Feasibility.Verdict.Undecided) {
            return Optional.of(HttpReply.unavailable("the machine types are not known yet"));
        }
        return verdict instanceof Feasibility.Verdict.Infeasible infeasible
                ? Optional.of(HttpReply.error(422, infeasible.reason()))
                : Optional.empty();
    }

    /** Which field makes the description too long to be stored; empty where none does. */
    private Optional<String> oversizeReason(JobSpec job, int storedBytes) {
        int maxBytes = limits.maxSpecBytes();
        if (storedBytes <= maxBytes) {
            return Optional.empty();
        }
        int listBytes = JobCodec.dependenciesBytes(job);
        int otherBytes = storedBytes - listBytes;
        return Optional.of(
                otherBytes < maxBytes
                        ? "awaits: want at most "
                                + (maxBytes - otherBytes)
                                + " bytes of JSON beside the other fields, not "
                                + listBytes
                        : "flavours and names: want at most "
                                + maxBytes
                                + " bytes in all, not "
                                + otherBytes);
    }

    /**
     * A dependency may have been accepted a moment ago by another controller; what nobody has
     * accepted by now is refused.
     */
    private void acceptOnceDependenciesAreKnown(
            JobSpec job, JsonNode stored, Consumer<HttpReply> answer) {
        reads.read(
                job.id(),
                outcome -> {
                    Optional<String> unknown =
                            job.dependencies().stream()
                                    .filter(id -> !reads.isKnown(id))
                                    .findFirst();
                    if (outcome instanceof ReadOutcome.Accepted accepted) {
                        answer.accept(HttpReply.json(200, accepted.job().statusAnswer()));
                    } else if (outcome instanceof ReadOutcome.Unavailable) {
                        answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
                    } else if (unknown.isPresent()) {
                        answer.accept(
                                HttpReply.error(
                                        422, "awaits: " + unknown.get() + " was never accepted"));
                    } else {
                        accept(job, stored, answer);
                    }
                });
    }

    private void accept(JobSpec job, JsonNode stored, Consumer<HttpReply> answer) {
        String id = job.id();
        // Submitted again while its creation waits, it costs nothing more.
        if (!submissions.isQueued(Keys.JOB_PREFIX + id)
                && policy.decide(job) instanceof SubmissionPolicy.Decision.Refused refused) {
            answer.accept(HttpReply.unavailable(refused.reason(), refused.retryAfterS()));
            return;
        }
        submissions.create(
                Keys.JOB_PREFIX + id, stored, result -> answerCreation(id, result, answer));
    }

    private void answerCreation(
            String id, CreateIfAbsent.Result result, Consumer<HttpReply> answer) {
        switch (result) {
            case CREATED ->
                    answer.accept(
                            HttpReply.json(201, JobMessages.briefStatusAnswer(id, Status.PENDING)));
            case EXISTS -> query(id, answer);
            case UNAVAILABLE -> answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
            case THROTTLED -> {
                policy.storeThrottled();
                answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
            }
            case OVERLOADED -> answer.accept(tooManyReply());
        }
    }

    /** By then what waits now has been written; to come back sooner would only add to the crowd. */
    private static HttpReply tooManyReply() {
        return HttpReply.unavailable(
                "more is submitted than can be written",
                (int) Math.ceil(CreateIfAbsent.MAX_QUEUE_WAIT_S));
    }

    // ---- query

    /** Answers a user's query for a job's state. */
    public void query(String id, Consumer<HttpReply> answer) {
        if (reads.isKnown(id)) {
            answerUnlessKnown(id, JOB_NOT_FOUND, answer);
        } else if (unknownQueriesInFlight >= limits.maxUnknownQueries()) {
            // Queries about jobs that nobody submitted must leave room for those about jobs that
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

    /**
     * A known id gets 200 whatever its body says: the job was accepted, perhaps by another
     * controller and a moment ago.
     */
    private void answerUnlessKnown(String id, HttpReply refusal, Consumer<HttpReply> answer) {
        reads.read(
                id,
                outcome ->
                        answer.accept(
                                outcome instanceof ReadOutcome.Accepted accepted
                                        ? statusReply(accepted.job())
                                        : notKnownReply(outcome, refusal)));
    }

    private static HttpReply statusReply(JobRecord job) {
        return job.unreadable() && !job.hasEnded()
                ? HttpReply.unavailable("a record of the job is of a form that is not known here")
                : HttpReply.json(200, job.statusAnswer());
    }

    private static HttpReply notKnownReply(ReadOutcome outcome, HttpReply refusal) {
        return outcome instanceof ReadOutcome.NeverAccepted
                ? refusal
                : HttpReply.unavailable(STORE_UNAVAILABLE);
    }

    // ---- cancellation

    /** Cancels a job durably, and answers its user. */
    public void cancel(String id, Consumer<HttpReply> answer) {
        if (reads.isKnown(id)) {
            cancelKnownJob(id, answer);
            return;
        }
        reads.read(
                id,
                outcome -> {
                    if (outcome instanceof ReadOutcome.Accepted) {
                        cancelKnownJob(id, answer);
                    } else {
                        answer.accept(notKnownReply(outcome, JOB_NOT_FOUND));
                    }
                });
    }

    /**
     * Unless this controller knows it, the state service decides whether the job has ended already:
     * its final state is written once.
     */
    private void cancelKnownJob(String id, Consumer<HttpReply> answer) {
        if (reads.isFinal(id)) {
            answerFinalStatus(id, answer);
            return;
        }
        cancellations.create(
                Keys.FINAL_STATE_PREFIX + id,
                JobCodec.encodeFinalStatus(Status.CANCELLED),
                result -> answerCancellation(id, result, answer));
    }

    private void answerCancellation(
            String id, CreateIfAbsent.Result result, Consumer<HttpReply> answer) {
        switch (result) {
            case CREATED -> {
                onCancelled.accept(id);
                answer.accept(finalStatusReply(id, Status.CANCELLED));
            }
            case EXISTS -> answerFinalStatus(id, answer);
            case UNAVAILABLE, THROTTLED -> answer.accept(HttpReply.unavailable(STORE_UNAVAILABLE));
            case OVERLOADED -> answer.accept(tooManyReply());
        }
    }

    private void answerFinalStatus(String id, Consumer<HttpReply> answer) {
        reads.read(
                id,
                outcome ->
                        answer.accept(
                                outcome instanceof ReadOutcome.Accepted accepted
                                                && accepted.job().hasEnded()
                                        ? finalStatusReply(id, accepted.job().finalStatus())
                                        : HttpReply.unavailable(STORE_UNAVAILABLE)));
    }

    private static HttpReply finalStatusReply(String id, Status status) {
        return HttpReply.json(200, JobMessages.briefStatusAnswer(id, status));
    }
}
