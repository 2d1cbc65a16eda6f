package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;
import io.pepperfield.jobs.LinearizableReads.Reading;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.Sync;
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
        String refusal(JobSpec job) throws Undecided;
    }

    /** The machine types are not known yet. */
    public static final class Undecided extends Exception {}

    private static final String NO_STATE = "the state service does not answer";
    private static final Reply NO_JOB = Reply.error(404, "no such job");

    private final Loop loop;
    private final LinearizableReads reads;
    private final Feasibility feasibility;
    private final SubmissionPolicy policy;
    private final CreateIfAbsent submissions;
    private final CreateIfAbsent cancellations;
    private final IntSupplier linesInRecord;
    private final int mostValueBytes;
    private final int mostUnknownQueries;
    private final Consumer<String> cancelled;

    /** Questions about jobs that this node knows nothing of, waiting for their confirmation. */
    private int unknownQueries;

    /**
     * @param linesInRecord tasks in a run record of a new job, given how many the first stored form
     *     takes
     * @param cancelled told of each job that has been cancelled through this node, when its user is
     */
    public UserRequests(
            Loop loop,
            Catalog catalog,
            Sync sync,
            StateService state,
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
        this.mostUnknownQueries = mostUnknownQueries;
        this.cancelled = cancelled;
        this.mostValueBytes = (int) (valueKb * 1024 * 0.9);
        // A run record takes up to about 60 bytes a task; half of a value leaves room for long
        // machine names.
        int linesInFirstForm = Math.max(1, (int) (valueKb * 1024 / 120));
        this.linesInRecord = () -> linesInRecord.applyAsInt(linesInFirstForm);
        this.submissions =
                new CreateIfAbsent(
                        loop, state, StateService.Urgency.JOB, mostChanges, 40 * 1024, changesPerS);
        this.cancellations =
                new CreateIfAbsent(
                        loop, state, StateService.Urgency.END, mostChanges, 40 * 1024, changesPerS);
    }

    /** Sends what has been gathered for the state service; called after each batch of commands. */
    public void flush() {
        cancellations.flush();
        submissions.flush();
    }

    /** Accepts a job once it is durable, and answers its user. */
    public void submit(byte[] body, Consumer<Reply> answer) {
        JsonNode json = Json.read(body);
        String id = JobMessages.idOf(json);
        if (!json.isObject() || id.isEmpty()) {
            answer.accept(
                    Reply.error(
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
            job = JobMessages.submission(json, loop.wallMs(), linesInRecord.getAsInt());
        } catch (JobMessages.Malformed e) {
            unlessKnown(id, Reply.error(400, e.getMessage()), answer);
            return;
        }
        JsonNode durable = JobMessages.durable(job);
        String tooLong = tooLong(job, Json.write(durable).length);
        if (tooLong != null) {
            unlessKnown(id, Reply.error(400, tooLong), answer);
            return;
        }
        String refusal;
        try {
            refusal = feasibility.refusal(job);
        } catch (Undecided e) {
            unlessKnown(id, Reply.later("the machine types are not known yet"), answer);
            return;
        }
        if (refusal != null) {
            unlessKnown(id, Reply.error(422, refusal), answer);
            return;
        }
        if (job.awaits().stream().allMatch(reads::isKnown)) {
            accept(job, durable, answer);
            return;
        }
        // What it needs may have been accepted a moment ago by another node; what nobody has
        // accepted by now is refused.
        reads.read(
                id,
                reading -> {
                    String unknownPrerequisite =
                            job.awaits().stream()
                                    .filter(needed -> !reads.isKnown(needed))
                                    .findFirst()
                                    .orElse(null);
                    if (reading instanceof Reading.Accepted accepted) {
                        answer.accept(Reply.json(200, accepted.job().answer()));
                    } else if (reading instanceof Reading.NeverAccepted
                            && unknownPrerequisite == null) {
                        accept(job, durable, answer);
                    } else {
                        answer.accept(
                                notKnown(
                                        reading,
                                        Reply.error(
                                                422,
                                                "awaits: "
                                                        + unknownPrerequisite
                                                        + " was never accepted")));
                    }
                });
    }

    /** Which field makes the description too long to be stored, or null. */
    private String tooLong(JobSpec job, int bytes) {
        if (bytes <= mostValueBytes) {
            return null;
        }
        int listBytes = JobMessages.awaitsBytes(job);
        return bytes - listBytes < mostValueBytes
                ? "awaits: want at most "
                        + (mostValueBytes - bytes + listBytes)
                        + " bytes of JSON beside the other fields, not "
                        + listBytes
                : "flavours and names: want at most "
                        + mostValueBytes
                        + " bytes in all, not "
                        + (bytes - listBytes);
    }

    private void accept(JobSpec job, JsonNode durable, Consumer<Reply> answer) {
        String id = job.id();
        // Asked again while its creation waits, it costs nothing more.
        if (!submissions.isWaiting(Keys.JOB + id)
                && policy.decide(job) instanceof SubmissionPolicy.Decision.Refused refused) {
            answer.accept(Reply.later(refused.why(), refused.retryAfterS()));
            return;
        }
        submissions.create(
                Keys.JOB + id,
                durable,
                result -> {
                    switch (result) {
                        case CREATED ->
                                answer.accept(
                                        Reply.json(201, JobMessages.brief(id, Status.PENDING)));
                        case EXISTS -> query(id, answer);
                        case UNAVAILABLE -> answer.accept(Reply.later(NO_STATE));
                        case THROTTLED -> {
                            policy.throttled();
                            answer.accept(Reply.later(NO_STATE));
                        }
                        case TOO_MANY -> answer.accept(tooMany());
                    }
                });
    }

    /** By then what waits now has been written; to come back sooner would only add to the crowd. */
    private static Reply tooMany() {
        return Reply.later(
                "more is submitted than can be written",
                (int) Math.ceil(CreateIfAbsent.PATIENCE_S));
    }

    /**
     * A known id gets 200 whatever its body says: the job was accepted, perhaps by another node and
     * a moment ago.
     */
    private void unlessKnown(String id, Reply refusal, Consumer<Reply> answer) {
        reads.read(
                id,
                reading ->
                        answer.accept(
                                reading instanceof Reading.Accepted accepted
                                        ? stateOf(accepted.job())
                                        : notKnown(reading, refusal)));
    }

    private static Reply stateOf(Catalog.Record job) {
        return job.unreadable() && job.end() == null
                ? Reply.later("a record of the job is of a form that is not known here")
                : Reply.json(200, job.answer());
    }

    private static Reply notKnown(Reading reading, Reply refusal) {
        return reading instanceof Reading.NeverAccepted ? refusal : Reply.later(NO_STATE);
    }

    /** Answers a user's query for a job's state. */
    public void query(String id, Consumer<Reply> answer) {
        if (reads.isKnown(id)) {
            unlessKnown(id, NO_JOB, answer);
        } else if (unknownQueries >= mostUnknownQueries) {
            // Questions about jobs that nobody submitted must leave room for those about jobs that
            // somebody did.
            answer.accept(Reply.later("too many questions about unknown jobs"));
        } else {
            unknownQueries++;
            unlessKnown(
                    id,
                    NO_JOB,
                    reply -> {
                        unknownQueries--;
                        answer.accept(reply);
                    });
        }
    }

    /** Cancels a job durably, and answers its user. */
    public void cancel(String id, Consumer<Reply> answer) {
        if (reads.isKnown(id)) {
            end(id, answer);
            return;
        }
        reads.read(
                id,
                reading -> {
                    if (reading instanceof Reading.Accepted) {
                        end(id, answer);
                    } else {
                        answer.accept(notKnown(reading, NO_JOB));
                    }
                });
    }

    /**
     * Whether the job is over already the state service decides, where its end is written once;
     * unless this node knows it.
     */
    private void end(String id, Consumer<Reply> answer) {
        if (reads.isFinal(id)) {
            ended(id, answer);
            return;
        }
        cancellations.create(
                Keys.END + id,
                JobMessages.durableEnd(Status.CANCELLED),
                result -> {
                    switch (result) {
                        case CREATED -> {
                            cancelled.accept(id);
                            answer.accept(Reply.json(200, JobMessages.brief(id, Status.CANCELLED)));
                        }
                        case EXISTS -> ended(id, answer);
                        case UNAVAILABLE, THROTTLED -> answer.accept(Reply.later(NO_STATE));
                        case TOO_MANY -> answer.accept(tooMany());
                    }
                });
    }

    private void ended(String id, Consumer<Reply> answer) {
        reads.read(
                id,
                reading ->
                        answer.accept(
                                reading instanceof Reading.Accepted accepted
                                                && accepted.job().end() != null
                                        ? Reply.json(
                                                200, JobMessages.brief(id, accepted.job().end()))
                                        : Reply.later(NO_STATE)));
    }
}
