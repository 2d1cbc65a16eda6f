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

/** The compact form says the same as the first, and nothing else is taken for it. */
class CompactRunRecordCodecTest {

    private static JsonNode json(String text) {
        return Json.read(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void encodeGroupsTasksByPhaseAndMachine() {
        JsonNode first =
                json(
                        "[[0,1,2],[1,1,2],[2,2,2],[3,1,1,\"m-1\",4],[4,1,1,\"m-1\",4],"
                                + "[5,1,1,\"m-2\",1],[6,1,0],[8,3,3]]");
        assertEquals(
                String.valueOf(
                        json(
                                "{\"v\":2,\"done\":[0,2,1,2,1,2],\"gone\":[6,1,1],\"failed\":[8,1,3],"
                                        + "\"live\":[[\"m-1\",4,3,2,1],[\"m-2\",1,5,1,1]]}")),
                String.valueOf(CompactRunRecordCodec.encode(first)));
    }

    @Test
    void decodeRestoresTheEncodedRecord() throws UnreadableRecordException {
        Random random = new Random(1);
        for (int round = 0; round < 500; round++) {
            JsonNode first = TaskState.encode(lines(random));
            JsonNode second = Json.read(Json.write(CompactRunRecordCodec.encode(first)));
            assertEquals(first, CompactRunRecordCodec.decode(second));
        }
    }

    private static List<TaskState> lines(Random random) {
        List<TaskState> lines = new ArrayList<>();
        for (int task = random.nextInt(200); lines.size() < 136; task += 1 + random.nextInt(2)) {
            Phase state = Phase.values()[random.nextInt(Phase.values().length)];
            boolean live = state == Phase.LIVE;
            lines.add(
                    new TaskState(
                            task,
                            1 + random.nextInt(3),
                            state,
                            live ? "host-" + random.nextInt(9) : "",
                            live ? 1 + random.nextInt(2) : 0));
        }
        return lines;
    }

    @Test
    void fullCompactRecordIsSmallerThanVersionOneRecordOfHalfTheTasks() {
        List<TaskState> lines = new ArrayList<>();
        for (int task = 0; task < 136; task++) {
            lines.add(new TaskState(task, 1, Phase.LIVE, "host-" + (100_000 + task / 4), 1));
        }
        int second = Json.write(CompactRunRecordCodec.encode(TaskState.encode(lines))).length;
        int first = Json.write(TaskState.encode(lines.subList(0, 68))).length;
        assertTrue(second < first, second + " bytes, and " + first);
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
