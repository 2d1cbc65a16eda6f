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
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's durable run records: which key holds a task's line, and what is written under it.
 */
final class RunRecordStore {

    /** Each transaction is guarded by it. */
    private static final int LEADER_PRECONDITIONS = 1;

    private static final Runnable NO_CALLBACK = () -> {};

    private final FencedWriter writer;
    private final Replica replica;
    private final LiveAttempts liveAttempts;
    private final SharedRunRecords sharedRecords;

    private final TransactionLimits limits;

    /** First keys of the records that this leader has divided. */
    private final Set<String> splitRecordKeys = new HashSet<>();

    /**
     * Jobs of shared records whose intents the last writing has left to the next one: each is
     * guarded by its job's final state, and a transaction takes only so many guards.
     */
    private final Set<String> deferredIntents = new HashSet<>();

    /**
     * @param limits of a transaction: a record is only divided if it fits into one
     */
    RunRecordStore(
            FencedWriter writer,
            Replica replica,
            LiveAttempts ledger,
            SharedRunRecords shared,
            TransactionLimits limits) {
        this.writer = writer;
        this.replica = replica;
        this.liveAttempts = ledger;
        this.sharedRecords = shared;
        this.limits = limits;
    }

    /** Takes over an earlier leader's shared records. */
    void restore(Map<String, List<String>> records, Map<String, Job> jobs) {
        records.forEach((key, ids) -> sharedRecords.restore(key, ids, jobs));
    }

    /** The task's line has changed; {@code effect} runs once it is durable. */
    void markChanged(Job job, int task, FencedWriter.Priority priority, Runnable effect) {
        String key = sharedRecordKey(job);
        if (key != null) {
            writer.enqueue(
                    key,
                    priority,
                    sharedContent(key),
                    () -> absentEndKeys(sharedRecords.jobs(key)),
                    effect == null
                            ? NO_CALLBACK
                            : () -> runUnlessDeferred(job, task, priority, effect));
            return;
        }
        int chunk = task / job.spec.tasksPerRunRecord();
        writer.enqueue(
                Keys.runRecord(job.spec.id(), chunk),
                priority,
                ownContent(job, chunk),
                () -> absentEndKeys(List.of(job)),
                effect == null ? NO_CALLBACK : effect);
    }

    /** What was left out of this writing is not durable yet: it goes into the next one. */
    private void runUnlessDeferred(
            Job job, int task, FencedWriter.Priority priority, Runnable effect) {
        if (deferredIntents.contains(job.spec.id())) {
            markChanged(job, task, priority, effect);
        } else {
            effect.run();
        }
    }

    private void deferExcessIntents(Collection<Job> jobs) {
        int left =
                Math.max(
                        1,
                        limits.maxPreconditions() - TaskState.SPLIT_PARTS - LEADER_PRECONDITIONS);
        for (Job job : jobs) {
            deferredIntents.remove(job.spec.id());
            if (hasPendingIntent(job) && left-- <= 0) {
                deferredIntents.add(job.spec.id());
            }
        }
    }

    private boolean hasPendingIntent(Job job) {
        return job.finalStatus() == null
                && liveAttempts.attemptsOf(job).stream()
                        .anyMatch(attempt -> attempt.phase() == Attempt.Phase.INTENDED);
    }

    private FencedWriter.Content sharedContent(String key) {
        return new FencedWriter.Content() {
            @Override
            public Map<String, JsonNode> values() {
                deferExcessIntents(sharedRecords.jobs(key));
                return sharedRecords.encodeRecord(key, member -> taskStates(member, 0));
            }

            @Override
            public boolean split() {
                return maySplit() && sharedRecords.split(key);
            }
        };
    }

    private FencedWriter.Content ownContent(Job job, int chunk) {
        return new FencedWriter.Content() {
            @Override
            public Map<String, JsonNode> values() {
                return isSplit(job, chunk)
                        ? splitValues(job, chunk)
                        : Map.of(
                                Keys.runRecord(job.spec.id(), chunk),
                                TaskState.encode(taskStates(job, chunk)));
            }

            @Override
            public boolean split() {
                return maySplit()
                        && !isSplit(job, chunk)
                        && splitRecordKeys.add(Keys.runRecord(job.spec.id(), chunk));
            }
        };
    }

    private boolean maySplit() {
        return TaskState.SPLIT_PARTS <= limits.maxMutations();
    }

    /** Whether this leader or an earlier one has divided the record. */
    private boolean isSplit(Job job, int chunk) {
        if (splitRecordKeys.contains(Keys.runRecord(job.spec.id(), chunk))) {
            return true;
        }
        for (int part = 1; part < TaskState.SPLIT_PARTS; part++) {
            if (replica.contains(job.spec.splitRecordKey(chunk, part))) {
                return true;
            }
        }
        return false;
    }

    /**
     * The lines of a divided record. All parts are written together, so that none is ever missing
     * and none is found in two of them. A part without a line is not written yet.
     */
    private Map<String, JsonNode> splitValues(Job job, int chunk) {
        List<List<TaskState>> parts =
                TaskState.split(
                        taskStates(job, chunk),
                        chunk * job.spec.tasksPerRunRecord(),
                        job.spec.tasksPerRunRecord());
        Map<String, JsonNode> values = new LinkedHashMap<>();
        for (int part = 0; part < TaskState.SPLIT_PARTS; part++) {
            if (part == 0 || !parts.get(part).isEmpty()) {
                values.put(job.spec.splitRecordKey(chunk, part), TaskState.encode(parts.get(part)));
            }
        }
        return values;
    }

    /**
     * The final states that must not exist when intents of these jobs become durable: once a
     * cancellation has taken effect, no start is intended any more, although this leader may not
     * have heard of it yet.
     */
    private List<String> absentEndKeys(Collection<Job> of) {
        return of.stream()
                .filter(job -> hasPendingIntent(job) && !deferredIntents.contains(job.spec.id()))
                .map(job -> Keys.FINAL_STATE_PREFIX + job.spec.id())
                .toList();
    }

    /** Whether the job shares its record with other small ones. */
    boolean sharesRecord(Job job) {
        return sharedRecordKey(job) != null;
    }

    /**
     * The job has ended: what waits to be written of its own records says less than its final
     * state, and is spared.
     */
    void dropPending(Job job) {
        for (int chunk = 0; chunk < job.spec.runRecordCount() && !sharesRecord(job); chunk++) {
            writer.discard(Keys.runRecord(job.spec.id(), chunk));
        }
    }

    /** The job is over and nothing of it may be alive. */
    void jobFinished(Job job) {
        sharedRecords.remove(job.spec.id());
    }

    /** The run record that the job shares with other small ones, or null. */
    private String sharedRecordKey(Job job) {
        boolean begun = replica.contains(Keys.runRecord(job.spec.id(), 0));
        return sharedRecords.recordKeyFor(job, begun).orElse(null);
    }

    private List<TaskState> taskStates(Job job, int chunk) {
        List<TaskState> lines = new ArrayList<>();
        int end = Math.min(job.spec.tasks(), (chunk + 1) * job.spec.tasksPerRunRecord());
        for (int task = chunk * job.spec.tasksPerRunRecord(); task < end; task++) {
            int number = job.lastAttempt(task);
            Attempt attempt = liveAttempts.get(job, task);
            if (attempt != null
                    && attempt.phase() == Attempt.Phase.INTENDED
                    && deferredIntents.contains(job.spec.id())) {
                // As it was before: no order for this attempt has left.
                attempt = null;
                number--;
            }
            if (job.isDone(task)) {
                lines.add(new TaskState(task, number, TaskState.Phase.DONE, "", 0));
            } else if (attempt != null) {
                lines.add(
                        new TaskState(
                                task,
                                number,
                                TaskState.Phase.LIVE,
                                attempt.machine.name,
                                attempt.incarnation));
            } else if (number > 0) {
                lines.add(
                        new TaskState(
                                task,
                                number,
                                job.hasFailed(task) ? TaskState.Phase.FAILED : TaskState.Phase.GONE,
                                "",
                                0));
            }
        }
        return lines;
    }
}
