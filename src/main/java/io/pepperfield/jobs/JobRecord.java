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
 * The replicated state of one accepted job: its specification, its final state, its run records and
 * the number of its unfinished dependencies. Modified only by {@link JobIndex} and its parts, on
 * the event loop's thread.
 */
public final class JobRecord {

    /** Maximum number of unfinished dependencies listed in a status reply. */
    private static final int MAX_DEPENDENCIES_SHOWN = 16;

    private final JobSpec spec;
    private final Predicate<String> isDone;
    private final Int2ObjectMap<RunRecordFragment> fragments = new Int2ObjectOpenHashMap<>();
    private Status finalStatus;
    private double lastKnownActiveAt;
    private boolean unreadable;
    private int doneTasks;
    private int runningTasks;
    private int failedTasks;

    /** Number of dependencies not known to be done. */
    private int unfinishedDependencyCount;

    /** Wall-clock time in milliseconds at which the job was done. */
    private OptionalLong doneMs = OptionalLong.empty();

    private OptionalLong readyMs;

    /**
     * @param isDone tests whether the job with a given id is known to be done
     */
    JobRecord(JobSpec spec, Predicate<String> isDone) {
        this.spec = spec;
        this.isDone = isDone;
        this.readyMs = OptionalLong.of(spec.acceptedMs());
    }

    /** The specification as submitted. */
    public JobSpec spec() {
        return spec;
    }

    /** The final state, or null if the job has not ended. */
    public Status finalStatus() {
        return finalStatus;
    }

    /** Whether the job is done or cancelled. */
    public boolean hasEnded() {
        return finalStatus != null;
    }

    /** For a job that has ended: a loop time in seconds at which it had not ended yet. */
    public double lastKnownActiveAt() {
        return lastKnownActiveAt;
    }

    /**
     * Whether a run record of the job has an unknown format, in which case the job must be left
     * alone.
     */
    public boolean unreadable() {
        return unreadable;
    }

    /** Whether all dependencies are durably done. */
    public boolean ready() {
        return unfinishedDependencyCount == 0;
    }

    /**
     * For a job that is ready: the wall-clock time in milliseconds at which it was submitted or its
     * last dependency was done, whichever is later; empty if a dependency's final state does not
     * record the time.
     */
    public OptionalLong readyMs() {
        return readyMs;
    }

    /**
     * The ids of the unfinished dependencies. Computed on demand rather than stored, as thousands
     * of jobs may each have hundreds of dependencies.
     */
    public List<String> unfinishedDependencies() {
        return spec.dependencies().stream().filter(isDone.negate()).toList();
    }

    /**
     * The stored states of the tasks, one for each task. If a controller of an older version has
     * written a split run record as a whole again, stale states remain in its parts; the newer
     * state of a task is returned.
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

    /** The body of the reply to a status query. */
    public JsonNode statusAnswer() {
        if (finalStatus != null) {
            int done = finalStatus == Status.DONE ? spec.tasks() : doneTasks;
            return JobMessages.statusAnswer(spec.id(), finalStatus, done, 0);
        }
        Status status = runningTasks > 0 ? Status.RUNNING : Status.PENDING;
        ObjectNode answer = JobMessages.statusAnswer(spec.id(), status, doneTasks, runningTasks);
        if (!ready()) {
            putUnfinishedDependencies(answer);
        }
        // Shows the user why a faulty job makes no progress.
        return failedTasks > 0 ? answer.put("failed", failedTasks) : answer;
    }

    /**
     * Adds the unfinished dependencies to a status reply. Clients poll every few seconds, so the
     * list is limited: one as long as a stored value allows would dominate the controller's
     * outgoing traffic.
     */
    private void putUnfinishedDependencies(ObjectNode answer) {
        spec.dependencies().stream()
                .filter(isDone.negate())
                .limit(MAX_DEPENDENCIES_SHOWN)
                .forEach(answer.withArray("waitsFor")::add);
        if (unfinishedDependencyCount > MAX_DEPENDENCIES_SHOWN) {
            answer.put("waitsForMore", unfinishedDependencyCount - MAX_DEPENDENCIES_SHOWN);
        }
    }

    // ---- changes, called by JobIndex and its parts

    int runningTasks() {
        return runningTasks;
    }

    void markUnreadable() {
        unreadable = true;
    }

    /** Sets the final state; {@link #onEnded} must follow in the same update. */
    void setFinalState(FinalState state) {
        finalStatus = state.status();
        doneMs = state.doneMs();
    }

    /**
     * Records a loop time at which the job had not ended yet, and drops the task states of a job
     * that is done, as they are no longer needed.
     */
    void onEnded(double knownActiveAt) {
        lastKnownActiveAt = knownActiveAt;
        if (finalStatus == Status.DONE) {
            fragments.clear();
        }
    }

    /** Counts a dependency that is not known to be done. */
    void countUnfinishedDependency() {
        unfinishedDependencyCount++;
    }

    /** Handles the completion of a dependency that was counted as unfinished. */
    void completeDependency(JobRecord dependency) {
        unfinishedDependencyCount--;
        updateReadyTime(dependency);
    }

    /**
     * Advances the ready time to the completion of a dependency that is not counted as unfinished.
     */
    void updateReadyTime(JobRecord dependency) {
        readyMs =
                readyMs.isPresent() && dependency.doneMs.isPresent()
                        ? OptionalLong.of(
                                Math.max(readyMs.getAsLong(), dependency.doneMs.getAsLong()))
                        : OptionalLong.empty();
    }

    /**
     * Replaces a fragment and updates the task counts incrementally, so that neither a change nor a
     * query iterates over all tasks of the job.
     */
    void putFragment(int index, RunRecordFragment fragment) {
        count(fragment, 1);
        count(fragments.put(index, fragment), -1);
    }

    void removeFragment(int index) {
        count(fragments.remove(index), -1);
    }

    private void count(RunRecordFragment fragment, int sign) {
        if (fragment != null) {
            doneTasks += sign * fragment.doneTasks();
            runningTasks += sign * fragment.runningTasks();
            failedTasks += sign * fragment.failedTasks();
        }
    }
}
