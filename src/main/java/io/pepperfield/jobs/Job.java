package io.pepperfield.jobs;

import io.pepperfield.predict.PeerRunTimes;
import it.unimi.dsi.fastutil.ints.Int2IntMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.BitSet;
import java.util.Set;

/** The leader's working state of one accepted job. Confined to the event loop's thread. */
public final class Job {

    public final JobSpec spec;

    /** Run times of this job's tasks, from which WIRE predicts the remaining ones. */
    public final PeerRunTimes runTimes = new PeerRunTimes();

    private final CrashLoopBackoff crashLoop = new CrashLoopBackoff();

    /** Loop time in seconds at which it was submitted or its last dependency was done. */
    private double readyAt;

    private boolean awaitingDependencies;

    /** The specification with the effective priority from {@link PriorityInheritance}. */
    private JobSpec effectiveSpec;

    private final BitSet pendingTasks;
    private final BitSet doneTasks;

    /** Tasks whose last attempt failed. */
    private final BitSet failedTasks = new BitSet();

    private final Int2IntMap lastAttempts = new Int2IntOpenHashMap();
    private Status finalStatus;
    private double lastKnownActiveAt;

    /**
     * Creates the state of a job with no task started.
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

    /** The final state, or null if the job has not ended. */
    public Status finalStatus() {
        return finalStatus;
    }

    /**
     * Marks the job as ended; none of its tasks is pending any more.
     *
     * @param knownActiveAt a loop time in seconds at which the job had not ended yet
     */
    public void finish(Status status, double knownActiveAt) {
        finalStatus = status;
        lastKnownActiveAt = knownActiveAt;
        pendingTasks.clear();
    }

    /** For a job that has ended: a loop time in seconds at which it had not ended yet. */
    public double lastKnownActiveAt() {
        return lastKnownActiveAt;
    }

    /**
     * Marks the job as waiting for its dependencies: until they are done it reserves and blocks
     * nothing.
     */
    public void awaitDependencies() {
        awaitingDependencies = true;
    }

    /** Whether the job waits for its dependencies. */
    public boolean isAwaitingDependencies() {
        return awaitingDependencies;
    }

    /** Marks all dependencies as done; the job's waiting time counts from {@code now}. */
    public void markDependenciesDone(double now) {
        awaitingDependencies = false;
        readyAt = now;
    }

    /** Loop time in seconds from which its tasks can be started. */
    public double readyAt() {
        return readyAt;
    }

    /** The specification with the effective priority, which placement uses. */
    public JobSpec effectiveSpec() {
        return effectiveSpec;
    }

    /**
     * Sets the priority used for placement.
     *
     * @param priority the highest among the job's own priority and those of its unfinished
     *     dependents
     */
    public void setEffectivePriority(JobSpec.Priority priority) {
        effectiveSpec = priority == spec.priority() ? spec : spec.withPriority(priority);
    }

    // ---- tasks

    /** The number of pending tasks; 0 while the job waits for its dependencies. */
    public int pendingTaskCount() {
        return awaitingDependencies ? 0 : pendingTasks.cardinality();
    }

    /** The first pending task, or -1. */
    public int nextPendingTask() {
        return pendingTasks.nextSetBit(0);
    }

    /**
     * The number of tasks that may be started now. A crash-looping job may start a single probe,
     * and only while no other task may be live: one task, or a whole gang, whose tasks cannot
     * complete without each other.
     *
     * @param anyAlive whether any attempt of the job may be live
     */
    public int startableTaskCount(boolean anyAlive) {
        if (!isCrashLooping()) {
            return pendingTaskCount();
        }
        return anyAlive ? 0 : Math.min(spec.isGang() ? spec.tasks() : 1, pendingTaskCount());
    }

    /** The number of completed tasks. */
    public int doneTaskCount() {
        return doneTasks.cardinality();
    }

    /** Whether all tasks are completed. */
    public boolean allDone() {
        return doneTaskCount() == spec.tasks();
    }

    /** Whether the task is completed. */
    public boolean isDone(int task) {
        return doneTasks.get(task);
    }

    /** Marks the task as completed; it is not started again. */
    public void markDone(int task) {
        doneTasks.set(task);
        pendingTasks.clear(task);
    }

    /** Whether the task's last attempt failed. */
    public boolean hasFailed(int task) {
        return failedTasks.get(task);
    }

    /** Marks the task's last attempt as failed. */
    public void markFailed(int task) {
        failedTasks.set(task);
    }

    /** The number of the task's last attempt; 0 before the first attempt. */
    public int lastAttempt(int task) {
        return lastAttempts.get(task);
    }

    /** Removes the task from the pending tasks and returns the number of its new attempt. */
    public int startAttempt(int task) {
        pendingTasks.clear(task);
        failedTasks.clear(task);
        int number = lastAttempts.get(task) + 1;
        lastAttempts.put(task, number);
        return number;
    }

    /**
     * Restores a task's last attempt from a stored record.
     *
     * @param live whether the attempt may be live
     */
    public void restoreAttempt(int task, int attempt, boolean live) {
        lastAttempts.put(task, attempt);
        if (live && finalStatus == null) {
            pendingTasks.clear(task);
        }
    }

    /**
     * Makes the task pending again after its attempt is proven to have terminated, unless the task
     * is done or the job has ended.
     */
    public void requeue(int task) {
        if (finalStatus == null && !doneTasks.get(task)) {
            pendingTasks.set(task);
        }
    }

    // ---- failures

    /**
     * Whether tasks have failed on several machines and none has completed since; see {@link
     * CrashLoopBackoff}.
     */
    public boolean isCrashLooping() {
        return crashLoop.isCrashLooping();
    }

    /** Loop time in seconds before which no task is started because of earlier failures. */
    public double startNotBefore() {
        return crashLoop.startNotBefore();
    }

    /** The most recent machines on which tasks failed since a task last completed. */
    public Set<String> failedMachines() {
        return crashLoop.failedMachines();
    }

    /**
     * The machines that do not count as capacity for the job, because tasks failed there; see
     * {@link CrashLoopBackoff#machinesToReplace}.
     *
     * @param now loop time in seconds
     */
    public Set<String> machinesToReplace(double now) {
        return crashLoop.machinesToReplace(now);
    }

    /**
     * The machines on which tasks failed recently; the next attempt avoids them. A machine is
     * avoided for a limited time only: otherwise a job whose tasks all fail would wait forever
     * although the only machines that fit it are free.
     */
    public Set<String> recentlyFailedMachines(double now) {
        return crashLoop.recentlyFailedMachines(now);
    }

    /**
     * Records that a task failed on the machine.
     *
     * @param now loop time in seconds
     * @return whether this failure made the job crash looping
     */
    public boolean recordFailure(
            String machine, double now, double initialBackoffS, double maxBackoffS) {
        return crashLoop.recordFailure(machine, now, initialBackoffS, maxBackoffS);
    }

    /** Records a task whose latest attempt failed according to a stored record. */
    public void restoreFailure(int task) {
        markFailed(task);
        crashLoop.restoreFailure();
    }

    /**
     * Records that a task completed. This clears all earlier failures: the job itself is not
     * faulty, so the failures are attributed to the machines.
     */
    public void recordSuccess() {
        crashLoop.reset();
    }
}
