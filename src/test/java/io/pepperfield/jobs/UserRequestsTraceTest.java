package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.ReplayTrace;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.ReplicaSynchronizer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * What one node tells its users, and what it asks the state service before, which here answers when
 * the trace says so.
 */
class UserRequestsTraceTest implements NoOpKeyValueStore {

    private final List<String> decisions = new ArrayList<>();
    private SimulatedLoop loop;
    private Consumer<ReadResult> reading;
    private Consumer<ReadResult> question;
    private Consumer<CompareAndSwapOutcome> transaction;
    private List<String> keys;
    private UserRequests users;

    @Test
    void answers() throws IOException {
        ReplayTrace.check("user-answers.txt", this::play);
    }

    private List<String> play(String[] words) {
        decisions.clear();
        switch (words[0]) {
            case "node" -> begin();
            case "time" -> loop.run(Double.parseDouble(words[1]));
            case "reading" -> reading.accept(read(words));
            case "answer" -> question.accept(read(words));
            case "written" -> transaction.accept(new CompareAndSwapOutcome.Committed(0));
            case "exists" -> transaction.accept(new CompareAndSwapOutcome.Conflict(keys));
            case "lost" -> transaction.accept(new CompareAndSwapOutcome.Unknown());
            case "submit" ->
                    users.submit(Json.write(submission(words)), reply -> say(words, reply));
            case "cancel" -> users.cancel("run-00000" + words[1], reply -> say(words, reply));
            default -> users.query("run-00000" + words[1], reply -> say(words, reply));
        }
        users.flush();
        return List.copyOf(decisions);
    }

    private void say(String[] words, HttpReply reply) {
        JsonNode body = Json.read(reply.body());
        boolean tellsWhy = words.length > 2 && List.of("awaits", "full").contains(words[2]);
        String said = body.path("status").asText(tellsWhy ? body.path("error").asText() : "");
        decisions.add((words[0] + " " + words[1] + ": " + reply.status() + " " + said).strip());
    }

    private void begin() {
        loop = new SimulatedLoop();
        JobIndex catalog = new JobIndex(() -> 0);
        Replica replica = new Replica((key, data, stamp) -> catalog.applyChange(key, data));
        ReplicaSynchronizer sync = new ReplicaSynchronizer(loop, this, replica, 1, 0.1);
        users =
                new UserRequests(
                        loop,
                        catalog,
                        sync,
                        this,
                        UserRequestsTraceTest::feasibility,
                        SubmissionPolicy.UNLIMITED,
                        new UserRequests.Limits(32, 8, 10, 2, tasks -> tasks),
                        id -> {});
        sync.start();
    }

    private static Feasibility.Verdict feasibility(JobSpec job) {
        if (job.cpus() == 999) {
            return new Feasibility.Verdict.Undecided();
        }
        return job.cpus() > 64
                ? new Feasibility.Verdict.Infeasible("fits nowhere")
                : new Feasibility.Verdict.Feasible();
    }

    /** submit NUMBER [unfit | undecided | incomplete | needs NUMBER | awaits JSON | full] */
    private static ObjectNode submission(String[] words) {
        String what = words.length > 2 ? words[2] : "";
        ObjectNode body =
                Json.object()
                        .put("nameId", "run-00000" + words[1])
                        .put("workload", "w")
                        .put("owner", "t")
                        .put("shape", "sweep")
                        .put("rank", "standard")
                        .put("shards", 3)
                        .put(
                                "vcpus",
                                what.equals("unfit") ? 65 : what.equals("undecided") ? 999 : 1)
                        .put("accelerators", 0.0)
                        .put("memGb", 1.0)
                        .put("bundle", "i")
                        .put("pullGb", 0.0)
                        .put("together", false)
                        .put("spread", false)
                        .put("reclaimable", true)
                        .put("expectedS", 1.0)
                        .put("snapshotEveryS", 0.0)
                        .put("snapshotS", 0.0);
        if (what.equals("needs")) {
            body.putArray("awaits").add("run-00000" + words[3]);
        } else if (what.equals("awaits")) {
            body.set("awaits", Json.read(words[3].getBytes(StandardCharsets.UTF_8)));
        } else if (what.equals("full")) {
            for (int i = 0; i < 600; i++) {
                body.withArray("awaits").add("run-" + (100_000 + i));
            }
        }
        return what.equals("incomplete") ? body.without(List.of("rank")) : body;
    }

    /** fails | gone | REVISION STAMP:job=NUMBER | STAMP:done=NUMBER | STAMP:cancelled=NUMBER ... */
    private static ReadResult read(String[] words) {
        if (words[1].equals("fails")) {
            return new ReadResult.Failed();
        }
        if (words[1].equals("gone")) {
            return new ReadResult.RevisionTooOld();
        }
        List<KeyValue> items =
                Arrays.stream(words)
                        .skip(2)
                        .map(
                                word -> {
                                    String[] part = word.split("[:=]");
                                    String id = "run-00000" + part[2];
                                    return part[1].equals("job")
                                            ? new KeyValue(
                                                    Keys.JOB_PREFIX + id,
                                                    Json.object().put("n", 3).put("k", 10),
                                                    Long.parseLong(part[0]))
                                            : new KeyValue(
                                                    Keys.FINAL_STATE_PREFIX + id,
                                                    Json.object().put("s", part[1]),
                                                    Long.parseLong(part[0]));
                                })
                        .toList();
        return new ReadResult.Read(items, false, Long.parseLong(words[1]));
    }

    @Override
    public void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done) {
        keys = changes.stream().map(Mutation::key).toList();
        decisions.add("writes " + String.join(" ", keys).replace(Keys.ROOT, ""));
        transaction = done;
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        decisions.add("reads all");
        reading = done;
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        // The long follow is silent here: nothing may rest on it.
        if (holdS == 0) {
            decisions.add("asks since " + since);
            question = done;
        }
    }
}
