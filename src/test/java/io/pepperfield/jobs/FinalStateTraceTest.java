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

/** What a node tells about a job as the news of the state service reach it, in whatever order. */
class FinalStateTraceTest {

    private JobIndex catalog = new JobIndex(() -> 0);
    private Replica replica = replica();

    private Replica replica() {
        return new Replica((key, data, stamp) -> catalog.applyChange(key, data));
    }

    @Test
    void answers() throws IOException {
        ReplayTrace.check("final-states.txt", this::play);
    }

    private List<String> play(String[] words) {
        switch (words[0]) {
            case "node" -> {
                catalog = new JobIndex(() -> 0);
                replica = replica();
            }
            case "news" -> replica.applyChanges(items(words, 2), Long.parseLong(words[1]));
            case "reading" -> replica.loadSnapshot(items(words, 2), Long.parseLong(words[1]));
            default -> {
                JobRecord record = catalog.get(words[1]);
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
     * STAMP:job | STAMP:done | STAMP:cancelled | STAMP:run=TASK.STATE,... (0 gone, 1 live, 2 done),
     * all of run-000001.
     */
    private static List<KeyValue> items(String[] words, int from) {
        List<KeyValue> items = new ArrayList<>();
        for (int i = from; i < words.length; i++) {
            String[] part = words[i].split(":");
            long stamp = Long.parseLong(part[0]);
            switch (part[1].split("=")[0]) {
                case "job" ->
                        items.add(
                                new KeyValue(
                                        Keys.JOB_PREFIX + "run-000001",
                                        Json.object().put("n", 3).put("k", 10),
                                        stamp));
                case "run" -> {
                    List<TaskState> lines = new ArrayList<>();
                    for (String line : part[1].substring(4).split(",")) {
                        lines.add(
                                new TaskState(
                                        line.charAt(0) - '0',
                                        1,
                                        TaskState.Phase.values()[line.charAt(2) - '0'],
                                        "m",
                                        1));
                    }
                    JsonNode data = TaskState.encode(lines);
                    items.add(new KeyValue(Keys.runRecord("run-000001", 0), data, stamp));
                }
                default ->
                        items.add(
                                new KeyValue(
                                        Keys.FINAL_STATE_PREFIX + "run-000001",
                                        Json.object().put("s", part[1]),
                                        stamp));
            }
        }
        return items;
    }
}
