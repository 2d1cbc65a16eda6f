package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.util.List;

/**
 * The contents of one run record, or of one job's entry in a shared run record: the task states in
 * their stored form, with counts of the tasks by phase.
 *
 * @param json the task states as serialized JSON; parsed trees for an array of 100,000 tasks would
 *     take a third of the heap
 * @param doneTasks number of completed tasks
 * @param runningTasks number of tasks whose latest attempt may be live
 * @param failedTasks number of tasks whose latest attempt failed
 */
record RunRecordFragment(byte[] json, int doneTasks, int runningTasks, int failedTasks) {

    static RunRecordFragment of(JsonNode data) {
        int done = 0;
        int running = 0;
        int failed = 0;
        for (JsonNode state : data) {
            TaskState.Phase phase = TaskState.decodePhase(state);
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
