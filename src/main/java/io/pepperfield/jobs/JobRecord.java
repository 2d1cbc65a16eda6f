package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * What the replica holds of one accepted job: its description, its final state, its run records and
 * how many of its dependencies are unfinished. Changed by {@link JobIndex} alone, on the event
 * loop's thread.
 */
public final class JobRecord {

    /** How many of the dependencies that a job waits for are shown to its user. */
    private static final int MAX_DEPENDENCIES_SHOWN = 16;

    private final JobSpec spec;
    private final Predicate<String> isDone;
    private final Int2ObjectMap<RunRecordFragment> fragments = new Int2ObjectOpenHashMap<>();
    private Status finalStatus;
    private double lastKnownOpenAt;
    private boolean unreadable;
    private int doneTasks;
    private int runningTasks;
    private int failedTasks;

    /** How many of its dependencies are not known to be done. */
    private int unfinishedDependencyCount;

    /** When the job itself was done, in milliseconds of the day's time. */
    private OptionalLong doneMs = OptionalLong.empty();

    private OptionalLong readyMs;

    /**
     * @param isDone whether the job with that id is known to be done
     */
    JobRecord(JobSpec spec, Predicate<String> isDone) {
        this.spec = spec;
        this.isDone = isDone;
        this.readyMs = OptionalLong.of(spec.acceptedMs());
    }

    /** What the user asked for. */
    public JobSpec spec() {
        return spec;
    }

    /** The final state, or null while the job has none. */
    public Status finalStatus() {
        return finalStatus;
    }

    /** Whether the job is done or cancelled. */
    public boolean hasEnded() {
        return finalStatus != null;
    }

    /** Of a job that has ended: a loop time in seconds at which it had not. */
    public double lastKnownActiveAt() {
        return lastKnownOpenAt;
    }

    /** Whether a run record of the job is of an unknown form: nothing may be done about the job. */
    public boolean unreadable() {
        return unreadable;
    }

    /** Whether all its dependencies are durably done. */
    public boolean ready() {
        return unfinishedDependencyCount == 0;
    }

    /**
     * Of a job that is ready: the time of day in milliseconds at which it was submitted or its last
     * dependency was done, whichever is later; empty where a final state does not say.
     */
    public OptionalLong readyMs() {
        return readyMs;
    }

    /**
     * The ids of the jobs that it still waits for. Found on demand, as thousands of jobs may each
     * have hundreds of dependencies.
     */
    public List<String> unfinishedDependencies() {
        return spec.dependencies().stream().filter(isDone.negate()).toList();
    }

    /**
     * The stored states of its tasks, one for each task. A split run record that a controller of an
     * older version has written whole again leaves old states in its parts: the newer one counts.
     */
    public Collection<TaskState> taskStates() {
        Map<Integer, TaskState> newest = new LinkedHashMap<>();
        for (RunRecordFragment fragment : fragments.values()) {
            for (TaskState state : fragment.taskStates()) {
                newest.merge(state.task(), state, TaskState::newer);
            }
        }
        return newest.values();
    }

    /** The body of the answer to a query for the job's state. */
    public JsonNode statusAnswer() {
        if (finalStatus != null) {
            int done = finalStatus == Status.DONE ? spec.tasks() : doneTasks;
            return JobMessages.statusAnswer(spec.id(), finalStatus, done, 0);
        }
        Status status = runningTasks > 0 ? Status.RUNNING : Status.PENDING;
        ObjectNode answer = JobMessages.statusAnswer(spec.id(), status, doneTasks, runningTasks);
        if (!ready()) {
            addUnfinishedDependencies(answer);
        }
        // Why a job that was submitted with a mistake makes no progress.
        return failedTasks > 0 ? answer.put("failed", failedTasks) : answer;
    }

    /**
     * Users ask every few seconds: a list as long as a stored value allows would be most of what
     * this controller sends.
     */
    private void addUnfinishedDependencies(ObjectNode answer) {
        spec.dependencies().stream()
                .filter(isDone.negate())
                .limit(MAX_DEPENDENCIES_SHOWN)
                .forEach(answer.withArray("waitsFor")::add);
        if (unfinishedDependencyCount > MAX_DEPENDENCIES_SHOWN) {
            answer.put("waitsForMore", unfinishedDependencyCount - MAX_DEPENDENCIES_SHOWN);
        }
    }

    // ---- changes, for JobIndex and its parts

    int runningTasks() {
        return runningTasks;
    }

    void markUnreadable() {
        unreadable = true;
    }

    /** Sets the final state; {@link #onEnded} follows once the replica's time is known. */
    void setFinalState(FinalState state) {
        finalStatus = state.status();
        doneMs = state.doneMs();
    }

    /**
     * The job has ended, and had not at that loop time. What is stored of the tasks of a job that
     * is done is not needed any more.
     */
    void onEnded(double knownOpenAt) {
        lastKnownOpenAt = knownOpenAt;
        if (finalStatus == Status.DONE) {
            fragments.clear();
        }
    }

    void countUnfinishedDependency() {
        unfinishedDependencyCount++;
    }

    void completeDependency(JobRecord dependency) {
        unfinishedDependencyCount--;
        updateReadyTime(dependency);
    }

    /** The dependency is done, and was never counted as unfinished or is not any more. */
    void updateReadyTime(JobRecord dependency) {
        readyMs =
                readyMs.isPresent() && dependency.doneMs.isPresent()
                        ? OptionalLong.of(
                                Math.max(readyMs.getAsLong(), dependency.doneMs.getAsLong()))
                        : OptionalLong.empty();
    }

    /**
     * The counts follow each change of one fragment: neither a change nor a query costs a pass over
     * the whole array.
     */
    void putFragment(int number, RunRecordFragment fragment) {
        count(fragment, 1);
        count(fragments.put(number, fragment), -1);
    }

    void removeFragment(int number) {
        count(fragments.remove(number), -1);
    }

    private void count(RunRecordFragment fragment, int sign) {
        if (fragment != null) {
            doneTasks += sign * fragment.doneTasks();
            runningTasks += sign * fragment.runningTasks();
            failedTasks += sign * fragment.failedTasks();
        }
    }
}
