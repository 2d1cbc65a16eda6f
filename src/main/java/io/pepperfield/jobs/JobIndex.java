package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All jobs that were ever accepted, as the replica has them; every node answers its users from
 * here.
 */
public final class JobIndex {

    private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

    /** So many of the jobs that one waits for are shown to its user. */
    private static final int MAX_DEPENDENCIES_SHOWN = 16;

    /**
     * One durable run record, with how many of its tasks are done, may be alive, or failed where
     * they were last tried.
     */
    private record RunRecordFragment(
            byte[] json, int doneTasks, int runningTasks, int failedTasks) {

        static RunRecordFragment of(JsonNode data) {
            int done = 0;
            int running = 0;
            int failed = 0;
            for (JsonNode line : data) {
                TaskState.Phase state = TaskState.decodePhase(line);
                done += state == TaskState.Phase.DONE ? 1 : 0;
                running += state == TaskState.Phase.LIVE ? 1 : 0;
                failed += state == TaskState.Phase.FAILED ? 1 : 0;
            }
            return new RunRecordFragment(Json.write(data), done, running, failed);
        }
    }

    /** A durable final state. */
    private record FinalState(Status status, OptionalLong doneMs) {

        static FinalState of(JsonNode data) {
            return new FinalState(
                    JobMessages.decodeFinalStatus(data), JobMessages.decodeDoneMs(data));
        }
    }

    /** One accepted job. */
    public final class JobRecord {
        private final JobSpec spec;
        private Status finalStatus;
        private double lastKnownOpenAt;
        private boolean unreadable;

        /** As written: trees of an array of 100,000 tasks would take a third of the heap. */
        private final Int2ObjectMap<RunRecordFragment> fragments = new Int2ObjectOpenHashMap<>();

        private int doneTasks;
        private int runningTasks;
        private int failedTasks;

        /** How many of the jobs that it needs are not known to be done. */
        private int unfinishedDependencyCount;

        /** When it was done itself. */
        private OptionalLong doneMs = OptionalLong.empty();

        /** When the last of the jobs was done that it needs and that are done. */
        private OptionalLong readyMs;

        private JobRecord(JobSpec spec) {
            this.spec = spec;
            this.readyMs = OptionalLong.of(spec.acceptedMs());
        }

        /**
         * Of a job that is ready: the time of day at which it was submitted or the last job that it
         * needs was done, whichever is later; empty where a final state does not say.
         */
        public OptionalLong readyMs() {
            return readyMs;
        }

        private void dependencyDone(JobRecord needed) {
            readyMs =
                    readyMs.isPresent() && needed.doneMs.isPresent()
                            ? OptionalLong.of(
                                    Math.max(readyMs.getAsLong(), needed.doneMs.getAsLong()))
                            : OptionalLong.empty();
        }

        /** Whether all jobs that it needs are durably done. */
        public boolean ready() {
            return unfinishedDependencyCount == 0;
        }

        /**
         * The jobs that it still waits for; found when asked for, as thousands of jobs may each
         * need hundreds.
         */
        public List<String> unfinishedDependencies() {
            return spec.dependencies().stream().filter(id -> !isDone(id)).toList();
        }

        /** Whether a run record of it is of a form not known here: nothing may be done about it. */
        public boolean unreadable() {
            return unreadable;
        }

        /** What its user asked for. */
        public JobSpec spec() {
            return spec;
        }

        /** The final state, or null. */
        public Status finalStatus() {
            return finalStatus;
        }

        /** Of a job that has ended: a time at which it had not. */
        public double lastKnownOpenAt() {
            return lastKnownOpenAt;
        }

        /**
         * The durable lines, one for each task. A divided record that a controller of an older
         * version has written whole again leaves old lines in its parts: the newer line counts.
         */
        public Collection<TaskState> taskStates() {
            Map<Integer, TaskState> newest = new LinkedHashMap<>();
            for (RunRecordFragment chunk : fragments.values()) {
                for (TaskState line : TaskState.decode(Json.read(chunk.json))) {
                    newest.merge(line.task(), line, TaskState::newer);
                }
            }
            return newest.values();
        }

        /**
         * Counted with each change, for that chunk alone: neither news nor a question costs a look
         * at the whole array.
         */
        private void replaceFragment(int number, RunRecordFragment chunk) {
            RunRecordFragment old =
                    chunk == null ? fragments.remove(number) : fragments.put(number, chunk);
            doneTasks += (chunk == null ? 0 : chunk.doneTasks) - (old == null ? 0 : old.doneTasks);
            runningTasks +=
                    (chunk == null ? 0 : chunk.runningTasks) - (old == null ? 0 : old.runningTasks);
            failedTasks +=
                    (chunk == null ? 0 : chunk.failedTasks) - (old == null ? 0 : old.failedTasks);
        }

        /** The body of the answer to a query for its state. */
        public JsonNode statusAnswer() {
            if (finalStatus != null) {
                return JobMessages.statusAnswer(
                        spec.id(),
                        finalStatus,
                        finalStatus == Status.DONE ? spec.tasks() : doneTasks,
                        0);
            }
            ObjectNode state =
                    JobMessages.statusAnswer(
                            spec.id(),
                            runningTasks > 0 ? Status.RUNNING : Status.PENDING,
                            doneTasks,
                            runningTasks);
            if (!ready()) {
                // Users ask every few seconds: a list as long as a value allows would be most of
                // what this node sends.
                spec.dependencies().stream()
                        .filter(id -> !isDone(id))
                        .limit(MAX_DEPENDENCIES_SHOWN)
                        .forEach(state.withArray("waitsFor")::add);
                if (unfinishedDependencyCount > MAX_DEPENDENCIES_SHOWN) {
                    state.put("waitsForMore", unfinishedDependencyCount - MAX_DEPENDENCIES_SHOWN);
                }
            }
            // Why a job that was submitted with a mistake does not get on.
            return failedTasks > 0 ? state.put("failed", failedTasks) : state;
        }
    }

    private final Map<String, JobRecord> records = new HashMap<>();
    private final Map<String, FinalState> finalStatesBeforeJobs = new HashMap<>();

    /** Ids that some job needs and whose own job a reading has not brought yet. */
    private final Map<String, String> idsNamedBeforeJobs = new HashMap<>();

    private final Map<String, List<String>> inShared = new HashMap<>();

    /** Of each job in a shared record, the record that named it last. */
    private final Map<String, String> sharedRecordByJob = new HashMap<>();

    /** Of each job that is not over, those that need it. */
    private final Map<String, List<JobRecord>> dependentsByJob = new HashMap<>();

    /** Jobs that the last news concern beside the one that they are about. */
    private final Set<String> affectedDependents = new LinkedHashSet<>();

    /** Cancelled jobs of which a durable line calls a task alive. */
    private final Set<JobRecord> cancelledWithLiveTasks = new HashSet<>();

    /** Those tasks by machine; null where news has come since it was made. */
    private Map<String, List<CancelledAttempt>> cancelledAttemptsByMachine;

    private final DoubleSupplier replicaConfirmedAt;

    /** An attempt of a cancelled job that may be alive on its machine by the durable lines. */
    public record CancelledAttempt(String task, int number, double jobOpenAt) {}

    /**
     * @param knownUpTo a time up to which all changes are known here
     */
    public JobIndex(DoubleSupplier knownUpTo) {
        this.replicaConfirmedAt = knownUpTo;
    }

    /**
     * A time as of which none of the cancelled jobs was cancelled that may have attempts on the
     * machine beside those settled.
     */
    public double noneCancelledAsOf(String machine, Predicate<CancelledAttempt> settled) {
        if (cancelledAttemptsByMachine == null) {
            cancelledAttemptsByMachine = new HashMap<>();
            cancelledWithLiveTasks.forEach(this::indexByMachine);
        }
        return cancelledAttemptsByMachine.getOrDefault(machine, List.of()).stream()
                .filter(settled.negate())
                .mapToDouble(CancelledAttempt::jobOpenAt)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private void indexByMachine(JobRecord record) {
        for (TaskState line : record.taskStates()) {
            if (line.phase() == TaskState.Phase.LIVE) {
                cancelledAttemptsByMachine
                        .computeIfAbsent(line.machine(), m -> new ArrayList<>())
                        .add(
                                new CancelledAttempt(
                                        record.spec.id() + "/" + line.task(),
                                        line.attempt(),
                                        record.lastKnownOpenAt));
            }
        }
    }

    /** To be called after each change of a job's final state or lines. */
    private void updateCancelledAttempts(JobRecord record) {
        if (record.finalStatus != Status.CANCELLED) {
            return;
        }
        if (record.runningTasks > 0) {
            cancelledWithLiveTasks.add(record);
        } else {
            cancelledWithLiveTasks.remove(record);
        }
        cancelledAttemptsByMachine = null;
    }

    /** The record of an accepted job, or null. */
    public JobRecord get(String id) {
        return records.get(id);
    }

    /** Shared run records, with the jobs that each holds. */
    public Map<String, List<String>> jobsBySharedRecord() {
        return inShared;
    }

    /** The records of all accepted jobs. */
    public Collection<JobRecord> all() {
        return records.values();
    }

    /**
     * The replica's news; keys of other slices are not for here. Accepted jobs and final states
     * never go away.
     */
    public void changed(String key, JsonNode data) {
        if (data == null) {
            return;
        }
        if (key.startsWith(Keys.JOB_PREFIX)) {
            String named = key.substring(Keys.JOB_PREFIX.length());
            String known = idsNamedBeforeJobs.remove(named);
            String id = known == null ? named : known;
            JobRecord record =
                    new JobRecord(
                            JobMessages.decodeSpec(id, data)
                                    .withSharedDependencyIds(this::jobsBySharedRecord));
            if (records.putIfAbsent(id, record) == null) {
                linkDependencies(record);
                FinalState end = finalStatesBeforeJobs.remove(id);
                if (end != null && record.finalStatus == null) {
                    applyFinalState(record, end);
                }
            }
        } else if (key.startsWith(Keys.FINAL_STATE_PREFIX)) {
            String id = key.substring(Keys.FINAL_STATE_PREFIX.length());
            FinalState end = FinalState.of(data);
            JobRecord record = records.get(id);
            if (record == null) {
                // A reading in pages brings the keys in their order, ends before jobs.
                finalStatesBeforeJobs.put(id, end);
            } else if (record.finalStatus == null) {
                applyFinalState(record, end);
            } else if (record.finalStatus != end.status) {
                LOG.error(
                        "{} was {} and is called {} in the state service",
                        id,
                        record.finalStatus,
                        end.status);
            }
        } else if (key.startsWith(Keys.SHARED_RUN_RECORD_PREFIX)) {
            applySharedRecord(key, data);
        } else if (key.startsWith(Keys.RUN_RECORD_PREFIX)) {
            int slash = key.lastIndexOf('/');
            applyRunRecord(
                    key.substring(Keys.RUN_RECORD_PREFIX.length(), slash),
                    Integer.parseInt(key.substring(slash + 1)),
                    data);
        }
    }

    /**
     * What is left out now is over with nothing alive, and its old lines must not come to life
     * under the next leader; unless another record holds it now, whichever of the two is read
     * first.
     */
    private void applySharedRecord(String key, JsonNode data) {
        inShared.getOrDefault(key, List.of()).stream()
                .filter(id -> !data.has(id) && sharedRecordByJob.remove(id, key))
                .forEach(id -> applyRunRecord(id, 0, null));
        List<String> ids = new ArrayList<>();
        data.fieldNames().forEachRemaining(ids::add);
        inShared.put(key, ids);
        for (String id : ids) {
            sharedRecordByJob.put(id, key);
            applyRunRecord(id, 0, data.get(id));
        }
    }

    /**
     * The id as the job itself has it: a copy for each job that needs it would fill the heap where
     * thousands need hundreds, and descriptions stay for ever.
     */
    private String jobsBySharedRecord(String id) {
        JobRecord record = records.get(id);
        if (record != null) {
            return record.spec.id();
        }
        String known = idsNamedBeforeJobs.putIfAbsent(id, id);
        return known == null ? id : known;
    }

    private boolean isDone(String id) {
        JobRecord record = records.get(id);
        return record != null && record.finalStatus == Status.DONE;
    }

    /** Notes what the job needs; it is over at once if any of that is known to be cancelled. */
    private void linkDependencies(JobRecord record) {
        boolean lost = false;
        for (String needed : record.spec.dependencies()) {
            JobRecord other = records.get(needed);
            if (other != null && other.finalStatus == Status.DONE) {
                record.dependencyDone(other);
                continue;
            }
            record.unfinishedDependencyCount++;
            // Also where it is not known yet: a reading in pages may bring it later.
            dependentsByJob.computeIfAbsent(needed, n -> new ArrayList<>()).add(record);
            lost |= other != null && other.finalStatus == Status.CANCELLED;
        }
        if (lost) {
            applyFinalState(record, new FinalState(Status.CANCELLED, OptionalLong.empty()));
        }
    }

    /**
     * A job is cancelled if its own final state says so or that of any job that it needs, directly
     * or through others. Both are written once, and what waits cannot be done; so this holds on
     * every node from the moment at which it knows the one final state, and nothing has to be
     * written for the jobs after it. Without recursion, since chains may be long.
     */
    private void applyFinalState(JobRecord first, FinalState end) {
        first.finalStatus = end.status;
        first.doneMs = end.doneMs;
        ArrayDeque<JobRecord> ended = new ArrayDeque<>(List.of(first));
        while (!ended.isEmpty()) {
            JobRecord record = ended.poll();
            record.lastKnownOpenAt = replicaConfirmedAt.getAsDouble();
            if (record.finalStatus == Status.DONE) {
                record.fragments.clear();
            }
            updateCancelledAttempts(record);
            List<JobRecord> waiting = dependentsByJob.remove(record.spec.id());
            for (JobRecord after : waiting == null ? List.<JobRecord>of() : waiting) {
                if (record.finalStatus == Status.DONE) {
                    after.unfinishedDependencyCount--;
                    after.dependencyDone(record);
                } else if (after.finalStatus == null) {
                    after.finalStatus = Status.CANCELLED;
                    ended.add(after);
                }
                affectedDependents.add(after.spec.id());
            }
        }
    }

    /** The jobs that the news since the last call concern beside those that they are about. */
    public List<String> drainAffectedJobs() {
        List<String> all = List.copyOf(affectedDependents);
        affectedDependents.clear();
        return all;
    }

    private void applyRunRecord(String id, int chunk, JsonNode data) {
        JobRecord record = records.get(id);
        if (record != null && data != null && !data.isArray()) {
            record.unreadable = true;
            return;
        }
        if (record != null && record.finalStatus != Status.DONE) {
            record.replaceFragment(chunk, data == null ? null : RunRecordFragment.of(data));
            updateCancelledAttempts(record);
        }
    }
}
