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
 * Handles submissions, queries and cancellations on any controller. Replies reflect the job's state
 * as read by {@link LinearizableReads}. Confined to the event loop's thread, on which every reply
 * is sent.
 */
public final class UserRequests {

    /**
     * Limits on the use of the state service by user requests.
     *
     * @param maxMutations maximum number of mutations in one transaction. It has one precondition
     *     per mutation, which leaves room for the precondition on the stored-state version
     * @param maxValueKib maximum size of a stored value in KiB
     * @param mutationsPerS mutations per second for submissions, and again for cancellations
     * @param maxUnknownQueries maximum number of concurrent queries for unknown jobs that wait for
     *     the replica to be confirmed as current
     * @param tasksPerRunRecord maps the number of tasks that fit into a run record in the original
     *     stored form to the number of tasks per run record of a new job
     */
    public record Limits(
            int maxMutations,
            double maxValueKib,
            double mutationsPerS,
            int maxUnknownQueries,
            IntUnaryOperator tasksPerRunRecord) {

        private static final int BYTES_PER_KIB = 1024;

        /** Maximum size of a job's specification, as a fraction of the maximum value size. */
        private static final double MAX_SPEC_FRACTION = 0.9;

        /**
         * A task takes up to about 60 bytes of a run record; twice as many are reserved for long
         * machine names.
         */
        private static final int RESERVED_BYTES_PER_TASK = 120;

        private int maxSpecBytes() {
            return (int) (maxValueKib * BYTES_PER_KIB * MAX_SPEC_FRACTION);
        }

        private int tasksInRunRecord() {
            int inOriginalForm = (int) (maxValueKib * BYTES_PER_KIB / RESERVED_BYTES_PER_TASK);
            return tasksPerRunRecord.applyAsInt(Math.max(1, inOriginalForm));
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

    /** Queries for jobs unknown to this controller that wait for the replica to be confirmed. */
    private int unknownQueriesInFlight;

    /**
     * @param onCancelled called with the id of each job cancelled through this controller, when its
     *     user is answered
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
        this.submissions = newCreator(store, RequestPriority.SUBMISSION);
        this.cancellations = newCreator(store, RequestPriority.CANCELLATION);
    }

    private CreateIfAbsent newCreator(KeyValueStore store, RequestPriority priority) {
        return new CreateIfAbsent(
                loop,
                store,
                priority,
                limits.maxMutations(),
                MAX_TRANSACTION_BYTES,
                limits.mutationsPerS());
    }

    /** Sends the queued creations to the state service; called after each batch of commands. */
    public void flush() {
        cancellations.flush();
        submissions.flush();
    }

    // ---- submission

    /** Validates a submission and answers its user once the job is durable or refused. */
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
            job = JobMessages.decodeSubmission(json, loop.wallClockMs(), limits.tasksInRunRecord());
        } catch (JobMessages.InvalidSubmissionException e) {
            answerStatusOrElse(id, HttpReply.error(400, e.getMessage()), answer);
            return;
        }
        JsonNode stored = JobCodec.encodeSpec(job);
        Optional<HttpReply> refusal = refusal(job, Json.write(stored).length);
        if (refusal.isPresent()) {
            answerStatusOrElse(id, refusal.get(), answer);
        } else if (job.dependencies().stream().allMatch(reads::isKnown)) {
            accept(job, stored, answer);
        } else {
            acceptAfterDependencyCheck(job, stored, answer);
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

    /** Names the field that makes the specification too large to be stored; empty if it is not. */
    private Optional<String> oversizeReason(JobSpec job, int storedBytes) {
        int maxBytes = limits.maxSpecBytes();
        if (storedBytes <= maxBytes) {
            return Optional.empty();
        }
        int dependencyBytes = JobCodec.dependenciesBytes(job);
        int otherBytes = storedBytes - dependencyBytes;
        return Optional.of(
                otherBytes < maxBytes
                        ? "awaits: want at most "
                                + (maxBytes - otherBytes)
                                + " bytes of JSON beside the other fields, not "
                                + dependencyBytes
                        : "flavours and names: want at most "
                                + maxBytes
                                + " bytes in all, not "
                                + otherBytes);
    }

    /**
     * Accepts the job after a linearizable read, unless a dependency is still unknown then: another
     * controller may have accepted the dependency a moment ago.
     */
    private void acceptAfterDependencyCheck(
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
        // A resubmission while the creation is queued costs nothing and is not counted again.
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
            case OVERLOADED -> answer.accept(overloadedReply());
        }
    }

    /**
     * Asks the client to retry once the current queue is written; earlier retries would add load.
     */
    private static HttpReply overloadedReply() {
        return HttpReply.unavailable(
                "more is submitted than can be written",
                (int) Math.ceil(CreateIfAbsent.MAX_QUEUE_WAIT_S));
    }

    // ---- query

    /** Answers a query for a job's status. */
    public void query(String id, Consumer<HttpReply> answer) {
        if (reads.isKnown(id)) {
            answerStatusOrElse(id, JOB_NOT_FOUND, answer);
        } else if (unknownQueriesInFlight >= limits.maxUnknownQueries()) {
            // Queries for jobs that do not exist must not crowd out queries for jobs that do.
            answer.accept(HttpReply.unavailable("too many questions about unknown jobs"));
        } else {
            unknownQueriesInFlight++;
            answerStatusOrElse(
                    id,
                    JOB_NOT_FOUND,
                    reply -> {
                        unknownQueriesInFlight--;
                        answer.accept(reply);
                    });
        }
    }

    /**
     * Answers with the job's status if it has been accepted, perhaps a moment ago by another
     * controller, and with {@code refusal} otherwise. A submission with an accepted id is therefore
     * answered with 200 whatever its body contains.
     */
    private void answerStatusOrElse(String id, HttpReply refusal, Consumer<HttpReply> answer) {
        reads.read(
                id,
                outcome ->
                        answer.accept(
                                outcome instanceof ReadOutcome.Accepted accepted
                                        ? statusReply(accepted.job())
                                        : unknownJobReply(outcome, refusal)));
    }

    private static HttpReply statusReply(JobRecord job) {
        return job.unreadable() && !job.hasEnded()
                ? HttpReply.unavailable("a record of the job is of a form that is not known here")
                : HttpReply.json(200, job.statusAnswer());
    }

    private static HttpReply unknownJobReply(ReadOutcome outcome, HttpReply refusal) {
        return outcome instanceof ReadOutcome.NeverAccepted
                ? refusal
                : HttpReply.unavailable(STORE_UNAVAILABLE);
    }

    // ---- cancellation

    /** Cancels a job and answers its user once the cancellation is durable. */
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
                        answer.accept(unknownJobReply(outcome, JOB_NOT_FOUND));
                    }
                });
    }

    /**
     * Cancels a job whose acceptance is known. Unless the replica already contains the job's final
     * state, the state service decides whether the job has ended, as a final state is written once.
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
            case OVERLOADED -> answer.accept(overloadedReply());
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
