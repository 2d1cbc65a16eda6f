package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.util.List;

/**
 * One stored run record, or one job's part of a shared one: the task states as written, with counts
 * of the tasks that are done, may be alive, or failed in their latest attempt.
 *
 * @param json the task states as stored: trees of an array of 100,000 tasks would take a third of
 *     the heap
 */
record RunRecordFragment(byte[] json, int doneTasks, int runningTasks, int failedTasks) {

    static RunRecordFragment of(JsonNode data) {
        int done = 0;
        int running = 0;
        int failed = 0;
        for (JsonNode line : data) {
            TaskState.Phase phase = TaskState.decodePhase(line);
            done += phase == TaskState.Phase.DONE ? 1 : 0;
            running += phase == TaskState.Phase.LIVE ? 1 : 0;
            failed += phase == TaskState.Phase.FAILED ? 1 : 0;
        }
        return new RunRecordFragment(Json.write(data), done, running, failed);
    }

    List<TaskState> taskStates() {
        return TaskState.decode(Json.read(json));
    }
}
