package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.standin.ReplayTrace;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A job's status on one controller, for changes and snapshots applied in any order. */
class FinalStateTraceTest {

    private JobIndex jobIndex = new JobIndex(() -> 0);
    private Replica replica = newReplica();

    private Replica newReplica() {
        return new Replica((key, data, modRevision) -> jobIndex.applyChange(key, data));
    }

    @Test
    void statusRepliesMatchTheTrace() throws IOException {
        ReplayTrace.check("final-states.txt", this::apply);
    }

    private List<String> apply(String[] words) {
        switch (words[0]) {
            case "node" -> {
                jobIndex = new JobIndex(() -> 0);
                replica = newReplica();
            }
            case "news" -> replica.applyChanges(keyValues(words, 2), Long.parseLong(words[1]));
            case "reading" -> replica.loadSnapshot(keyValues(words, 2), Long.parseLong(words[1]));
            default -> {
                JobRecord record = jobIndex.get(words[1]);
                return List.of(
                        record == null
                                ? "unknown"
                                : record.statusAnswer().path("status").asText()
                                        + " "
                                        + record.statusAnswer().path("done").asInt()
                                        + " done "
                                        + record.statusAnswer().path("running").asInt()
                                        + " running");
            }
        }
        return List.of();
    }

    /**
     * Parses REVISION:job | REVISION:done | REVISION:cancelled | REVISION:run=TASK.PHASE,... with
     * the keys' modification revisions and the phases 0 (gone), 1 (live) and 2 (done), all of
     * run-000001.
     */
    private static List<KeyValue> keyValues(String[] words, int from) {
        List<KeyValue> keyValues = new ArrayList<>();
        for (int i = from; i < words.length; i++) {
            String[] parts = words[i].split(":");
            long modRevision = Long.parseLong(parts[0]);
            switch (parts[1].split("=")[0]) {
                case "job" ->
                        keyValues.add(
                                new KeyValue(
                                        Keys.JOB_PREFIX + "run-000001",
                                        Json.object().put("n", 3).put("k", 10),
                                        modRevision));
                case "run" -> {
                    List<TaskState> states = new ArrayList<>();
                    for (String state : parts[1].substring(4).split(",")) {
                        states.add(
                                new TaskState(
                                        state.charAt(0) - '0',
                                        1,
                                        TaskState.Phase.values()[state.charAt(2) - '0'],
                                        "m",
                                        1));
                    }
                    JsonNode data = TaskState.encode(states);
                    keyValues.add(new KeyValue(Keys.runRecord("run-000001", 0), data, modRevision));
                }
                default ->
                        keyValues.add(
                                new KeyValue(
                                        Keys.FINAL_STATE_PREFIX + "run-000001",
                                        Json.object().put("s", parts[1]),
                                        modRevision));
            }
        }
        return keyValues;
    }
}
