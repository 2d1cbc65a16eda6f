package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.jobs.TaskState.Phase;
import io.pepperfield.rollout.CompactRunRecordCodec.UnreadableRecordException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The compact format preserves the content of version 1 records, and malformed records are
 * rejected.
 */
class CompactRunRecordCodecTest {

    private static JsonNode json(String text) {
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void encodeGroupsTasksByPhaseAndMachine() {
        JsonNode versionOneRecord =
                json(
                        "[[0,1,2],[1,1,2],[2,2,2],[3,1,1,\"m-1\",4],[4,1,1,\"m-1\",4],"
                                + "[5,1,1,\"m-2\",1],[6,1,0],[8,3,3]]");
        assertEquals(
                String.valueOf(
                        json(
                                "{\"v\":2,\"done\":[0,2,1,2,1,2],\"gone\":[6,1,1],\"failed\":[8,1,3],"
                                        + "\"live\":[[\"m-1\",4,3,2,1],[\"m-2\",1,5,1,1]]}")),
                String.valueOf(CompactRunRecordCodec.encode(versionOneRecord)));
    }

    @Test
    void decodeRestoresTheEncodedRecord() throws UnreadableRecordException {
        Random random = new Random(1);
        for (int round = 0; round < 500; round++) {
            JsonNode versionOneRecord = TaskState.encode(randomTaskStates(random));
            JsonNode compact =
                    Json.read(Json.write(CompactRunRecordCodec.encode(versionOneRecord)));
            assertEquals(versionOneRecord, CompactRunRecordCodec.decode(compact));
        }
    }

    private static List<TaskState> randomTaskStates(Random random) {
        List<TaskState> taskStates = new ArrayList<>();
        for (int task = random.nextInt(200);
                taskStates.size() < 136;
                task += 1 + random.nextInt(2)) {
            Phase phase = Phase.values()[random.nextInt(Phase.values().length)];
            boolean live = phase == Phase.LIVE;
            taskStates.add(
                    new TaskState(
                            task,
                            1 + random.nextInt(3),
                            phase,
                            live ? "host-" + random.nextInt(9) : "",
                            live ? 1 + random.nextInt(2) : 0));
        }
        return taskStates;
    }

    @Test
    void fullCompactRecordIsSmallerThanVersionOneRecordOfHalfTheTasks() {
        List<TaskState> taskStates = new ArrayList<>();
        for (int task = 0; task < 136; task++) {
            taskStates.add(new TaskState(task, 1, Phase.LIVE, "host-" + (100_000 + task / 4), 1));
        }
        int compactBytes =
                Json.write(CompactRunRecordCodec.encode(TaskState.encode(taskStates))).length;
        int versionOneBytes = Json.write(TaskState.encode(taskStates.subList(0, 68))).length;
        assertTrue(compactBytes < versionOneBytes, compactBytes + " bytes, and " + versionOneBytes);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "[[0,1,2]]",
                "{}",
                "{\"v\":3,\"done\":[0,1,1]}",
                "{\"v\":2,\"done\":[0,1]}",
                "{\"v\":2,\"done\":[0,-1,1]}",
                "{\"v\":2,\"done\":[0,2000000,1]}",
                "{\"v\":2,\"done\":[\"0\",1,1]}",
                "{\"v\":2,\"done\":{}}",
                "{\"v\":2,\"live\":[[\"m-1\",0,1,1]]}",
                "{\"v\":2,\"live\":[[7,1,0,1,1]]}",
                "{\"v\":2,\"live\":[\"m-1\"]}"
            })
    void decodeRejectsMalformedRecords(String text) {
        assertThrows(
                UnreadableRecordException.class, () -> CompactRunRecordCodec.decode(json(text)));
    }
}
