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
 * Replies of one controller to its users, and its requests to the state service, which answers when
 * the trace says so.
 */
class UserRequestsTraceTest implements NoOpKeyValueStore {

    private final List<String> decisions = new ArrayList<>();
    private SimulatedLoop loop;
    private Consumer<ReadResult> pendingSnapshot;
    private Consumer<ReadResult> pendingReadIndex;
    private Consumer<CompareAndSwapOutcome> pendingTransaction;
    private List<String> writtenKeys;
    private UserRequests requests;

    @Test
    void repliesAndStoreRequestsMatchTheTrace() throws IOException {
        ReplayTrace.check("user-answers.txt", this::apply);
    }

    private List<String> apply(String[] words) {
        decisions.clear();
        switch (words[0]) {
            case "node" -> start();
            case "time" -> loop.run(Double.parseDouble(words[1]));
            case "reading" -> pendingSnapshot.accept(read(words));
            case "answer" -> pendingReadIndex.accept(read(words));
            case "written" -> pendingTransaction.accept(new CompareAndSwapOutcome.Committed(0));
            case "exists" ->
                    pendingTransaction.accept(new CompareAndSwapOutcome.Conflict(writtenKeys));
            case "lost" -> pendingTransaction.accept(new CompareAndSwapOutcome.Unknown());
            case "submit" ->
                    requests.submit(
                            Json.write(submission(words)), reply -> recordReply(words, reply));
            case "cancel" ->
                    requests.cancel("run-00000" + words[1], reply -> recordReply(words, reply));
            default -> requests.query("run-00000" + words[1], reply -> recordReply(words, reply));
        }
        requests.flush();
        return List.copyOf(decisions);
    }

    private void recordReply(String[] words, HttpReply reply) {
        JsonNode body = Json.read(reply.body());
        boolean showsError = words.length > 2 && List.of("awaits", "full").contains(words[2]);
        String detail = body.path("status").asText(showsError ? body.path("error").asText() : "");
        decisions.add((words[0] + " " + words[1] + ": " + reply.status() + " " + detail).strip());
    }

    private void start() {
        loop = new SimulatedLoop();
        JobIndex jobIndex = new JobIndex(() -> 0);
        Replica replica = new Replica((key, data, modRevision) -> jobIndex.applyChange(key, data));
        ReplicaSynchronizer synchronizer = new ReplicaSynchronizer(loop, this, replica, 1, 0.1);
        requests =
                new UserRequests(
                        loop,
                        jobIndex,
                        synchronizer,
                        this,
                        UserRequestsTraceTest::feasibility,
                        SubmissionPolicy.UNLIMITED,
                        new UserRequests.Limits(32, 8, 10, 2, tasks -> tasks),
                        id -> {});
        synchronizer.start();
    }

    private static Feasibility.Verdict feasibility(JobSpec job) {
        if (job.cpus() == 999) {
            return new Feasibility.Verdict.Undecided();
        }
        return job.cpus() > 64
                ? new Feasibility.Verdict.Infeasible("fits nowhere")
                : new Feasibility.Verdict.Feasible();
    }

    /**
     * Builds a submission: NUMBER [unfit | undecided | incomplete | needs NUMBER | awaits JSON |
     * full]
     */
    private static ObjectNode submission(String[] words) {
        String variant = words.length > 2 ? words[2] : "";
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
                                variant.equals("unfit")
                                        ? 65
                                        : variant.equals("undecided") ? 999 : 1)
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
        if (variant.equals("needs")) {
            body.putArray("awaits").add("run-00000" + words[3]);
        } else if (variant.equals("awaits")) {
            body.set("awaits", Json.read(words[3].getBytes(StandardCharsets.UTF_8)));
        } else if (variant.equals("full")) {
            for (int i = 0; i < 600; i++) {
                body.withArray("awaits").add("run-" + (100_000 + i));
            }
        }
        return variant.equals("incomplete") ? body.without(List.of("rank")) : body;
    }

    /**
     * Parses fails | gone | REVISION ENTRY..., where an entry is MOD_REVISION:job=NUMBER,
     * MOD_REVISION:done=NUMBER or MOD_REVISION:cancelled=NUMBER.
     */
    private static ReadResult read(String[] words) {
        if (words[1].equals("fails")) {
            return new ReadResult.Failed();
        }
        if (words[1].equals("gone")) {
            return new ReadResult.RevisionTooOld();
        }
        List<KeyValue> keyValues =
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
        return new ReadResult.Read(keyValues, false, Long.parseLong(words[1]));
    }

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done) {
        writtenKeys = mutations.stream().map(Mutation::key).toList();
        decisions.add("writes " + String.join(" ", writtenKeys).replace(Keys.ROOT, ""));
        pendingTransaction = done;
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        decisions.add("reads all");
        pendingSnapshot = done;
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        // Watches with a hold time are never answered here: no reply may depend on them.
        if (holdS == 0) {
            decisions.add("asks since " + since);
            pendingReadIndex = done;
        }
    }
}
