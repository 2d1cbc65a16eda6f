package io.pepperfield.forms;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.Feasibility;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.jobs.UserRequests;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.Replica;
import io.pepperfield.store.ReplicaSynchronizer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Replies of a controller to users: status, exact body and retry delay. */
final class UserAnswerForms implements NoOpKeyValueStore {

    private final GoldenFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private CompareAndSwapOutcome writeOutcome = new CompareAndSwapOutcome.Committed(6);
    private ReadResult readResult = new ReadResult.Read(List.of(), false, 5);
    private SubmissionPolicy.Decision decision = SubmissionPolicy.ADMITTED;
    private final UserRequests users;
    private int lastJobNumber;

    private UserAnswerForms(GoldenFile file) {
        this.file = file;
        JobIndex jobIndex = new JobIndex(() -> 0);
        Replica replica =
                new Replica((key, value, modRevision) -> jobIndex.applyChange(key, value));
        ReplicaSynchronizer synchronizer = new ReplicaSynchronizer(loop, this, replica, 1, 0.01);
        users =
                new UserRequests(
                        loop,
                        jobIndex,
                        synchronizer,
                        this,
                        UserAnswerForms::feasibility,
                        policy(),
                        new UserRequests.Limits(32, 8, 1, 1, tasks -> tasks),
                        id -> file.add("told the other controllers", id));
        synchronizer.start();
        loop.run(1);
    }

    private static Feasibility.Verdict feasibility(JobSpec job) {
        if (job.cpus() == 999) {
            return new Feasibility.Verdict.Undecided();
        }
        return job.cpus() > 64
                ? new Feasibility.Verdict.Infeasible("fits nowhere")
                : new Feasibility.Verdict.Feasible();
    }

    private SubmissionPolicy policy() {
        return new SubmissionPolicy() {
            @Override
            public Decision decide(JobSpec job) {
                return decision;
            }

            @Override
            public void storeThrottled() {
                file.add("counted", "as throttled");
            }
        };
    }

    static void write(GoldenFile file) {
        UserAnswerForms answers = new UserAnswerForms(file);
        answers.writeSubmissions();
        answers.writeStoreFailures();
        answers.writeQueriesAndCancellations();
    }

    private void writeSubmissions() {
        submit("not JSON", "{".getBytes(StandardCharsets.UTF_8));
        submit("an array", "[]".getBytes(StandardCharsets.UTF_8));
        submit("good", newSubmission().put("vcpus", 1));
        submit("incomplete", newSubmission().without(List.of("rank")));
        submit("unfit", newSubmission().put("vcpus", 65));
        submit("undecided", newSubmission().put("vcpus", 999));
        ObjectNode unknownDependency = newSubmission();
        unknownDependency.putArray("awaits").add("run-999999");
        submit("needs an unknown job", unknownDependency);
        ObjectNode tooManyDependencies = newSubmission();
        IntStream.range(0, 700)
                .forEach(i -> tooManyDependencies.withArray("awaits").add("run-" + (100_000 + i)));
        submit("needs too many", tooManyDependencies);
        ObjectNode longFlavours = newSubmission();
        String longName = "f".repeat(200);
        IntStream.range(0, 50).forEach(i -> longFlavours.withArray("flavours").add(longName));
        submit("too long", longFlavours);
        decision = new SubmissionPolicy.Decision.Refused("over the share", 9);
        submit("not admitted", newSubmission());
        decision = SubmissionPolicy.ADMITTED;
    }

    private void writeStoreFailures() {
        writeOutcome = new CompareAndSwapOutcome.Refused(429);
        submit("throttled", newSubmission());
        writeOutcome = new CompareAndSwapOutcome.Unknown();
        submit("no answer to the write", newSubmission());
        for (int i = 0; i < 5; i++) {
            users.submit(Json.write(newSubmission()), reply -> file.add("many at once", reply));
        }
        flushAndRun();
        readResult = new ReadResult.Failed();
        query("run-777777");
        cancel("run-777777");
        users.query("run-777778", reply -> file.add("first unknown job", reply));
        users.query("run-777779", reply -> file.add("second unknown job at once", reply));
        flushAndRun();
        readResult = new ReadResult.Read(List.of(), false, 5);
        writeOutcome = new CompareAndSwapOutcome.Committed(6);
    }

    private void writeQueriesAndCancellations() {
        query("run-777777");
        cancel("run-777777");
        KeyValue job = new KeyValue("pepperfield/job/run-000001", Json.object().put("n", 3), 7);
        readResult = new ReadResult.Read(List.of(job), false, 7);
        query("run-000001");
        readResult = new ReadResult.Read(List.of(), false, 7);
        cancel("run-000001");
        KeyValue finalStatus =
                new KeyValue("pepperfield/end/run-000001", Json.object().put("s", "done"), 8);
        writeOutcome = new CompareAndSwapOutcome.Conflict(List.of("pepperfield/end/run-000001"));
        readResult = new ReadResult.Read(List.of(finalStatus), false, 8);
        cancel("run-000001");
        query("run-000001");
    }

    private ObjectNode newSubmission() {
        ObjectNode body = (ObjectNode) GoldenFile.readJsonInput("submission.json");
        body.remove(List.of("awaits", "flavours"));
        return body.put("nameId", String.format(Locale.ROOT, "run-%06d", 100 + ++lastJobNumber));
    }

    private void submit(String caseName, ObjectNode body) {
        submit(caseName, Json.write(body));
    }

    private void submit(String caseName, byte[] body) {
        users.submit(body, reply -> file.add("submit " + caseName, reply));
        flushAndRun();
    }

    private void query(String id) {
        users.query(id, reply -> file.add("query " + id, reply));
        flushAndRun();
    }

    private void cancel(String id) {
        users.cancel(id, reply -> file.add("cancel " + id, reply));
        flushAndRun();
    }

    /** Sends all pending requests and runs the loop until they are answered. */
    private void flushAndRun() {
        users.flush();
        loop.run(loop.now() + 1);
        users.flush();
    }

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done) {
        loop.schedule(0.1, () -> done.accept(writeOutcome));
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        done.accept(readResult);
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        if (holdS == 0) {
            loop.schedule(0.1, () -> done.accept(readResult));
        }
    }
}
