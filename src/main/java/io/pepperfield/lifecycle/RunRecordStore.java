package io.pepperfield.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.SharedRunRecords;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.TransactionLimits;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The leader's durable run records: which key holds a task's state, and what is written under it.
 * Small jobs share a record; a large one has several of its own. Confined to the event loop.
 */
final class RunRecordStore {

    private static final Runnable NO_EFFECT = () -> {};

    private final FencedWriter writer;
    private final Replica replica;
    private final LiveAttempts liveAttempts;
    private final SharedRunRecords sharedRecords;
    private final TransactionLimits limits;
    private final DeferredIntents deferredIntents;

    /** First keys of the records that this leader has split. */
    private final Set<String> splitRecordKeys = new HashSet<>();

    RunRecordStore(
            DurableState durable, LiveAttempts liveAttempts, SharedRunRecords sharedRecords) {
        this.writer = durable.writer();
        this.replica = durable.replica();
        this.liveAttempts = liveAttempts;
        this.sharedRecords = sharedRecords;
        this.limits = durable.transactionLimits();
        this.deferredIntents = new DeferredIntents(liveAttempts, limits);
    }

    /** Takes over an earlier leader's shared records. */
    void restore(Map<String, List<String>> jobsBySharedRecord, Map<String, Job> jobs) {
        jobsBySharedRecord.forEach((key, ids) -> sharedRecords.restore(key, ids, jobs));
    }

    /** The task's state has changed and is to be written; nothing depends on when. */
    void markChanged(Job job, int task, FencedWriter.Priority priority) {
        enqueue(job, task, priority, Optional.empty());
    }

    /** The task's state has changed and is to be written; {@code onDurable} runs once it is. */
    void markChanged(Job job, int task, FencedWriter.Priority priority, Runnable onDurable) {
        enqueue(job, task, priority, Optional.of(onDurable));
    }

    private void enqueue(
            Job job, int task, FencedWriter.Priority priority, Optional<Runnable> onDurable) {
        Optional<String> sharedKey = sharedRecordKey(job);
        if (sharedKey.isPresent()) {
            Runnable unlessDeferred =
                    onDurable
                            .<Runnable>map(run -> () -> runUnlessDeferred(job, task, priority, run))
                            .orElse(NO_EFFECT);
            enqueueShared(sharedKey.get(), priority, unlessDeferred);
        } else {
            int recordIndex = task / job.spec.tasksPerRunRecord();
            enqueueOwn(job, recordIndex, priority, onDurable.orElse(NO_EFFECT));
        }
    }

    private void enqueueShared(String key, FencedWriter.Priority priority, Runnable onDurable) {
        writer.enqueue(
                key,
                priority,
                sharedContent(key),
                () -> deferredIntents.requiredAbsentKeys(sharedRecords.jobs(key)),
                onDurable);
    }

    private void enqueueOwn(
            Job job, int recordIndex, FencedWriter.Priority priority, Runnable onDurable) {
        String key = Keys.runRecord(job.spec.id(), recordIndex);
        writer.enqueue(
                key,
                priority,
                ownContent(key, job, recordIndex),
                () -> deferredIntents.requiredAbsentKeys(List.of(job)),
                onDurable);
    }

    /** What was left out of this write is not durable yet: it goes into the next one. */
    private void runUnlessDeferred(
            Job job, int task, FencedWriter.Priority priority, Runnable onDurable) {
        if (deferredIntents.isDeferred(job)) {
            markChanged(job, task, priority, onDurable);
        } else {
            onDurable.run();
        }
    }

    private FencedWriter.Content sharedContent(String key) {
        return new FencedWriter.Content() {
            @Override
            public Map<String, JsonNode> values() {
                deferredIntents.deferExcess(sharedRecords.jobs(key));
                return sharedRecords.encodeRecord(key, member -> taskStates(member, 0));
            }

            @Override
            public boolean split() {
                return canSplit() && sharedRecords.split(key);
            }
        };
    }

    private FencedWriter.Content ownContent(String key, Job job, int recordIndex) {
        return new FencedWriter.Content() {
            @Override
            public Map<String, JsonNode> values() {
                return isSplit(job, recordIndex)
                        ? splitValues(job, recordIndex)
                        : Map.of(key, TaskState.encode(taskStates(job, recordIndex)));
            }

            @Override
            public boolean split() {
                return canSplit() && !isSplit(job, recordIndex) && splitRecordKeys.add(key);
            }
        };
    }

    /** A record is only split if all its parts fit into one transaction. */
    private boolean canSplit() {
        return TaskState.SPLIT_PARTS <= limits.maxMutations();
    }

    /** Whether this leader or an earlier one has split the record. */
    private boolean isSplit(Job job, int recordIndex) {
        if (splitRecordKeys.contains(Keys.runRecord(job.spec.id(), recordIndex))) {
            return true;
        }
        for (int part = 1; part < TaskState.SPLIT_PARTS; part++) {
            if (replica.contains(job.spec.splitRecordKey(recordIndex, part))) {
                return true;
            }
        }
        return false;
    }

    /**
     * The parts of a split record by key. All parts are written together, so that no task is ever
     * missing and none is found in two of them. A part without a task is not written yet.
     */
    private Map<String, JsonNode> splitValues(Job job, int recordIndex) {
        List<List<TaskState>> parts =
                TaskState.split(
                        taskStates(job, recordIndex),
                        firstTask(job, recordIndex),
                        job.spec.tasksPerRunRecord());
        Map<String, JsonNode> values = new LinkedHashMap<>();
        for (int part = 0; part < TaskState.SPLIT_PARTS; part++) {
            if (part == 0 || !parts.get(part).isEmpty()) {
                values.put(
                        job.spec.splitRecordKey(recordIndex, part),
                        TaskState.encode(parts.get(part)));
            }
        }
        return values;
    }

    private static int firstTask(Job job, int recordIndex) {
        return recordIndex * job.spec.tasksPerRunRecord();
    }

    /** Whether the job shares its record with other small ones. */
    boolean sharesRecord(Job job) {
        return sharedRecordKey(job).isPresent();
    }

    /**
     * The job is done: what waits to be written of its own records says less than its final state,
     * and is spared.
     */
    void discardPending(Job job) {
        for (int index = 0; index < job.spec.runRecordCount() && !sharesRecord(job); index++) {
            writer.discard(Keys.runRecord(job.spec.id(), index));
        }
    }

    /** The job is over and nothing of it may be alive. */
    void jobFinished(Job job) {
        sharedRecords.remove(job.spec.id());
    }

    /** The run record that the job shares with other small ones, or null. */
    private Optional<String> sharedRecordKey(Job job) {
        boolean hasOwnRecord = replica.contains(Keys.runRecord(job.spec.id(), 0));
        return sharedRecords.recordKeyFor(job, hasOwnRecord);
    }

    /** The states of the record's tasks, except of those that were never started. */
    private List<TaskState> taskStates(Job job, int recordIndex) {
        List<TaskState> states = new ArrayList<>();
        int end = Math.min(job.spec.tasks(), firstTask(job, recordIndex + 1));
        for (int task = firstTask(job, recordIndex); task < end; task++) {
            addTaskState(job, task, states);
        }
        return states;
    }

    private void addTaskState(Job job, int task, List<TaskState> states) {
        int number = job.lastAttempt(task);
        Attempt attempt = liveAttempts.get(job, task);
        if (attempt != null && deferredIntents.isDeferred(attempt)) {
            // As it was before: no order for this attempt has left.
            attempt = null;
            number--;
        }
        if (job.isDone(task)) {
            states.add(withoutMachine(task, number, TaskState.Phase.DONE));
        } else if (attempt != null) {
            states.add(
                    new TaskState(
                            task,
                            number,
                            TaskState.Phase.LIVE,
                            attempt.machine.name,
                            attempt.incarnation));
        } else if (number > 0) {
            boolean failed = job.hasFailed(task);
            states.add(
                    withoutMachine(
                            task, number, failed ? TaskState.Phase.FAILED : TaskState.Phase.GONE));
        }
    }

    private static TaskState withoutMachine(int task, int attempt, TaskState.Phase phase) {
        return new TaskState(task, attempt, phase, "", 0);
    }
}
