package io.pepperfield.jobs;

import io.pepperfield.predict.PeerRunTimes;
import it.unimi.dsi.fastutil.ints.Int2IntMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.BitSet;
import java.util.Set;

/** The leader's working state of one accepted job. Confined to the event loop's thread. */
public final class Job {

    public final JobSpec spec;

    /** Run times of this job's tasks: what WIRE predicts from. */
    public final PeerRunTimes runTimes = new PeerRunTimes();

    private final CrashLoopBackoff crashLoop = new CrashLoopBackoff();

    /** When this leader's clock says it was submitted, or its last dependency was done. */
    private double readyAt;

    private boolean awaitingDependencies;

    /** Its description with the priority of {@link PriorityInheritance}. */
    private JobSpec effectiveSpec;

    private final BitSet pendingTasks;
    private final BitSet doneTasks;

    /** Tasks of which the last attempt failed. */
    private final BitSet failedTasks = new BitSet();

    private final Int2IntMap lastAttempts = new Int2IntOpenHashMap();
    private Status finalStatus;
    private double lastKnownOpenAt;

    /**
     * Creates the state of a job none of whose tasks has been started.
     *
     * @param submittedAt loop time in seconds
     */
    public Job(JobSpec spec, double submittedAt) {
        this.spec = spec;
        this.effectiveSpec = spec;
        this.readyAt = submittedAt;
        this.pendingTasks = new BitSet(spec.tasks());
        this.pendingTasks.set(0, spec.tasks());
        this.doneTasks = new BitSet(spec.tasks());
    }

    // ---- state of the job

    /** The final state, or null. */
    public Status finalStatus() {
        return finalStatus;
    }

    /**
     * The job has ended: no task of it waits any more.
     *
     * @param knownOpenAt a loop time in seconds at which it had not ended yet
     */
    public void finish(Status status, double knownOpenAt) {
        finalStatus = status;
        lastKnownOpenAt = knownOpenAt;
        pendingTasks.clear();
    }

    /** Of a job that has ended: a loop time in seconds at which it had not. */
    public double lastKnownActiveAt() {
        return lastKnownOpenAt;
    }

    /** Jobs that it depends on are not done yet: until then it holds and blocks nothing. */
    public void awaitDependencies() {
        awaitingDependencies = true;
    }

    /** Whether it waits for other jobs. */
    public boolean isAwaitingDependencies() {
        return awaitingDependencies;
    }

    /** The last job that it depends on is done: its class's times begin. */
    public void markDependenciesDone(double now) {
        awaitingDependencies = false;
        readyAt = now;
    }

    /** Loop time in seconds at which its tasks could first be started. */
    public double readyAt() {
        return readyAt;
    }

    /** Its description with the effective priority, by which it is placed. */
    public JobSpec effectiveSpec() {
        return effectiveSpec;
    }

    /**
     * Sets the priority by which it is placed.
     *
     * @param priority the highest among its own and those of the unfinished jobs that depend on it
     */
    public void setEffectivePriority(JobSpec.Priority priority) {
        effectiveSpec = priority == spec.priority() ? spec : spec.withPriority(priority);
    }

    // ---- tasks

    /** Tasks that wait to be started; none while the job waits for others. */
    public int pendingTaskCount() {
        return awaitingDependencies ? 0 : pendingTasks.cardinality();
    }

    /** The first task that waits to be started, or -1. */
    public int nextPendingTask() {
        return pendingTasks.nextSetBit(0);
    }

    /** How many of its tasks may be started now, beside those that may be alive. */
    public int startableTaskCount(boolean anyAlive) {
        if (!isCrashLooping()) {
            return pendingTaskCount();
        }
        return anyAlive ? 0 : Math.min(1, pendingTaskCount());
    }

    /** The number of completed tasks. */
    public int doneTaskCount() {
        return doneTasks.cardinality();
    }

    /** Whether all its tasks are completed. */
    public boolean allDone() {
        return doneTaskCount() == spec.tasks();
    }

    /** Whether the task is completed. */
    public boolean isDone(int task) {
        return doneTasks.get(task);
    }

    /** Records that the task is completed: it is not started again. */
    public void markDone(int task) {
        doneTasks.set(task);
        pendingTasks.clear(task);
    }

    /** Whether the task's last attempt failed. */
    public boolean hasFailed(int task) {
        return failedTasks.get(task);
    }

    /** Records that the task's last attempt failed. */
    public void markFailed(int task) {
        failedTasks.set(task);
    }

    /** The number of the task's last attempt; 0 before the first. */
    public int lastAttempt(int task) {
        return lastAttempts.get(task);
    }

    /** Takes the task off the pending ones and gives its new attempt's number. */
    public int startAttempt(int task) {
        pendingTasks.clear(task);
        failedTasks.clear(task);
        int number = lastAttempts.get(task) + 1;
        lastAttempts.put(task, number);
        return number;
    }

    /** From a stored record: the task has got as far as that attempt, which may be alive. */
    public void restoreAttempt(int task, int attempt, boolean live) {
        lastAttempts.put(task, attempt);
        if (live && finalStatus == null) {
            pendingTasks.clear(task);
        }
    }

    /**
     * The task's attempt is proven gone; the task waits again unless it is done or the job has
     * ended.
     */
    public void requeue(int task) {
        if (finalStatus == null && !doneTasks.get(task)) {
            pendingTasks.set(task);
        }
    }

    // ---- failures

    /**
     * Whether tasks have failed on several machines and none was completed since; see {@link
     * CrashLoopBackoff}.
     */
    public boolean isCrashLooping() {
        return crashLoop.isCrashLooping();
    }

    /** Loop time in seconds before which none of its tasks is started, after a failure. */
    public double startNotBefore() {
        return crashLoop.startNotBefore();
    }

    /** Where it failed since a task was last completed. */
    public Set<String> failedMachines() {
        return crashLoop.failedMachines();
    }

    /**
     * Where it failed of late: the next try goes elsewhere. Not for ever, or a job of which no task
     * can be completed would wait beside the only machines that fit it.
     */
    public Set<String> recentlyFailedMachines(double now) {
        return crashLoop.recentlyFailedMachines(now);
    }

    /**
     * A task failed on that machine.
     *
     * @param now loop time in seconds
     * @return whether the job is crash looping from now on, and was not before
     */
    public boolean recordFailure(
            String machine, double now, double firstPauseS, double longestPauseS) {
        return crashLoop.recordFailure(machine, now, firstPauseS, longestPauseS);
    }

    /** A stored record says that the task failed in its latest attempt. */
    public void restoreFailure() {
        crashLoop.restoreFailure();
    }

    /**
     * A task was completed. What can be completed was not submitted with a mistake, whatever its
     * bad machines have made of it.
     */
    public void recordSuccess() {
        crashLoop.reset();
    }
}
