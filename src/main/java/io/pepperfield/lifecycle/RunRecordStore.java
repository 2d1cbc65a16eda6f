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
 * The leader's durable run records: maps each task to the key that holds its state, and writes the
 * records. Small jobs share a record; a large job has several of its own. Confined to the event
 * loop.
 */
final class RunRecordStore {

    private static final Runnable NO_EFFECT = () -> {};

    private final FencedWriter writer;
    private final Replica replica;
    private final LiveAttempts liveAttempts;
    private final SharedRunRecords sharedRecords;
    private final TransactionLimits limits;
    private final DeferredIntents deferredIntents;

    /** First key of each record that this leader has split. */
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

    /** Restores the shared records of earlier leaders. */
    void restore(Map<String, List<String>> jobsBySharedRecord, Map<String, Job> jobs) {
        jobsBySharedRecord.forEach((key, ids) -> sharedRecords.restore(key, ids, jobs));
    }

    /** Enqueues a write of the task's changed state, without a callback. */
    void markChanged(Job job, int task, FencedWriter.Priority priority) {
        enqueue(job, task, priority, Optional.empty());
    }

    /** Enqueues a write of the task's changed state; {@code onDurable} runs once it is durable. */
    void markChanged(Job job, int task, FencedWriter.Priority priority, Runnable onDurable) {
        enqueue(job, task, priority, Optional.of(onDurable));
    }

    private void enqueue(
            Job job, int task, FencedWriter.Priority priority, Optional<Runnable> onDurable) {
        Optional<String> sharedKey = sharedRecordKey(job);
        if (sharedKey.isPresent()) {
            Runnable callbackUnlessDeferred =
                    onDurable
                            .<Runnable>map(
                                    callback ->
                                            () -> runUnlessDeferred(job, task, priority, callback))
                            .orElse(NO_EFFECT);
            enqueueShared(sharedKey.get(), priority, callbackUnlessDeferred);
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

    /**
     * Runs the callback, unless the intent was deferred from this write: then it is enqueued again.
     */
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

    /** A record is split only if all its parts fit into one transaction. */
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
     * Returns the parts of a split record by key. All parts are written in one transaction, so that
     * no task is ever missing or present in two parts. Parts other than the first are omitted while
     * they hold no tasks.
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

    /** Whether the job shares its record with other small jobs. */
    boolean sharesRecord(Job job) {
        return sharedRecordKey(job).isPresent();
    }

    /**
     * Discards pending writes of the job's own records. The job is done, and its final state
     * supersedes them.
     */
    void discardPending(Job job) {
        for (int index = 0; index < job.spec.runRecordCount() && !sharesRecord(job); index++) {
            writer.discard(Keys.runRecord(job.spec.id(), index));
        }
    }

    /**
     * Removes the job from its shared record; called once it has ended and has no attempts that may
     * be live.
     */
    void jobFinished(Job job) {
        sharedRecords.remove(job.spec.id());
    }

    /**
     * Returns the key of the run record that the job shares with other small jobs; empty if it has
     * its own.
     */
    private Optional<String> sharedRecordKey(Job job) {
        boolean hasOwnRecord = replica.contains(Keys.runRecord(job.spec.id(), 0));
        return sharedRecords.recordKeyFor(job, hasOwnRecord);
    }

    /** Returns the states of the record's tasks, except for tasks that were never started. */
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
            // Encode the state before this attempt: no order for it has been sent.
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
