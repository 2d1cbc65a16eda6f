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

/** What a controller answers its users, word for word, with status and time to come back. */
final class UserAnswerForms implements NoOpKeyValueStore {

    private final GoldenFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private CompareAndSwapOutcome written = new CompareAndSwapOutcome.Committed(6);
    private ReadResult read = new ReadResult.Read(List.of(), false, 5);
    private SubmissionPolicy.Decision decision = SubmissionPolicy.ADMITTED;
    private final UserRequests users;
    private int number;

    private UserAnswerForms(GoldenFile file) {
        this.file = file;
        JobIndex catalog = new JobIndex(() -> 0);
        Replica replica = new Replica((key, data, stamp) -> catalog.applyChange(key, data));
        ReplicaSynchronizer sync = new ReplicaSynchronizer(loop, this, replica, 1, 0.01);
        users =
                new UserRequests(
                        loop,
                        catalog,
                        sync,
                        this,
                        UserAnswerForms::feasibility,
                        policy(),
                        new UserRequests.Limits(32, 8, 1, 1, tasks -> tasks),
                        id -> file.add("told the other controllers", id));
        sync.start();
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
        answers.submissions();
        answers.withoutTheStateService();
        answers.ofOneJob();
    }

    private void submissions() {
        submit("not JSON", "{".getBytes(StandardCharsets.UTF_8));
        submit("an array", "[]".getBytes(StandardCharsets.UTF_8));
        submit("good", body().put("vcpus", 1));
        submit("incomplete", body().without(List.of("rank")));
        submit("unfit", body().put("vcpus", 65));
        submit("undecided", body().put("vcpus", 999));
        ObjectNode needing = body();
        needing.putArray("awaits").add("run-999999");
        submit("needs an unknown job", needing);
        ObjectNode full = body();
        IntStream.range(0, 700).forEach(i -> full.withArray("awaits").add("run-" + (100_000 + i)));
        submit("needs too many", full);
        ObjectNode names = body();
        String name = "f".repeat(200);
        IntStream.range(0, 50).forEach(i -> names.withArray("flavours").add(name));
        submit("too long", names);
        decision = new SubmissionPolicy.Decision.Refused("over the share", 9);
        submit("not admitted", body());
        decision = SubmissionPolicy.ADMITTED;
    }

    private void withoutTheStateService() {
        written = new CompareAndSwapOutcome.Refused(429);
        submit("throttled", body());
        written = new CompareAndSwapOutcome.Unknown();
        submit("no answer to the write", body());
        for (int i = 0; i < 5; i++) {
            users.submit(Json.write(body()), reply -> file.add("many at once", reply));
        }
        settle();
        read = new ReadResult.Failed();
        query("run-777777");
        cancel("run-777777");
        users.query("run-777778", reply -> file.add("first unknown job", reply));
        users.query("run-777779", reply -> file.add("second unknown job at once", reply));
        settle();
        read = new ReadResult.Read(List.of(), false, 5);
        written = new CompareAndSwapOutcome.Committed(6);
    }

    private void ofOneJob() {
        query("run-777777");
        cancel("run-777777");
        KeyValue job = new KeyValue("pepperfield/job/run-000001", Json.object().put("n", 3), 7);
        read = new ReadResult.Read(List.of(job), false, 7);
        query("run-000001");
        read = new ReadResult.Read(List.of(), false, 7);
        cancel("run-000001");
        KeyValue end =
                new KeyValue("pepperfield/end/run-000001", Json.object().put("s", "done"), 8);
        written = new CompareAndSwapOutcome.Conflict(List.of("pepperfield/end/run-000001"));
        read = new ReadResult.Read(List.of(end), false, 8);
        cancel("run-000001");
        query("run-000001");
    }

    private ObjectNode body() {
        ObjectNode body = (ObjectNode) GoldenFile.readJsonInput("submission.json");
        body.remove(List.of("awaits", "flavours"));
        return body.put("nameId", String.format(Locale.ROOT, "run-%06d", 100 + ++number));
    }

    private void submit(String what, ObjectNode body) {
        submit(what, Json.write(body));
    }

    private void submit(String what, byte[] body) {
        users.submit(body, reply -> file.add("submit " + what, reply));
        settle();
    }

    private void query(String id) {
        users.query(id, reply -> file.add("query " + id, reply));
        settle();
    }

    private void cancel(String id) {
        users.cancel(id, reply -> file.add("cancel " + id, reply));
        settle();
    }

    /** All that was asked is sent and answered. */
    private void settle() {
        users.flush();
        loop.run(loop.now() + 1);
        users.flush();
    }

    @Override
    public void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done) {
        loop.schedule(0.1, () -> done.accept(written));
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        done.accept(read);
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        if (holdS == 0) {
            loop.schedule(0.1, () -> done.accept(read));
        }
    }
}
