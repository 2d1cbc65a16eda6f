package io.pepperfield.jobs;

import io.pepperfield.predict.PeerRunTimes;
import it.unimi.dsi.fastutil.ints.Int2IntMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/** The leader's working state of one accepted job. */
public final class Job {

    /**
     * One machine on which tasks fail may be faulty; that two are, and nothing else is known of the
     * job, is less likely.
     */
    private static final int CRASH_LOOP_MACHINES = 2;

    private static final int MAX_FAILED_MACHINES = 8;

    public final JobSpec spec;

    /** Run times of this job's tasks: what WIRE predicts from. */
    public final PeerRunTimes runTimes = new PeerRunTimes();

    /** When this leader's clock says it was submitted, or its last prerequisite was done. */
    private double readyAt;

    /**
     * It needs jobs that are not done yet: until then it holds nothing and stands in nobody's way.
     */
    private boolean awaitDependencies;

    /** Its description with the rank of {@link PriorityInheritance}. */
    private JobSpec effectiveSpec;

    private final BitSet pendingTasks;
    private final BitSet doneTasks;

    /** Tasks of which the last attempt failed. */
    private final BitSet recordFailure = new BitSet();

    private final Int2IntMap lastAttempts = new Int2IntOpenHashMap();
    private Status finalStatus;
    private double lastKnownOpenAt;

    /**
     * Machines on which a task failed since one of the job was last completed, the last few of
     * them, and until when to avoid them.
     */
    private final LinkedHashMap<String, Double> failedMachines = new LinkedHashMap<>();

    /** Tasks that durable records call failed, from before this leader. */
    private int recordEarlierFailure;

    private double startNotBefore;

    /** Creates the state of a job none of whose tasks has been started. */
    public Job(JobSpec spec, double submittedAt) {
        this.spec = spec;
        this.effectiveSpec = spec;
        this.readyAt = submittedAt;
        this.pendingTasks = new BitSet(spec.tasks());
        this.pendingTasks.set(0, spec.tasks());
        this.doneTasks = new BitSet(spec.tasks());
    }

    /** The final state, or null. */
    public Status finalStatus() {
        return finalStatus;
    }

    /**
     * @param asOf a time at which it had not ended yet
     */
    public void finalStatus(Status status, double asOf) {
        finalStatus = status;
        lastKnownOpenAt = asOf;
        pendingTasks.clear();
    }

    /** Of a job that has ended: a time at which it had not. */
    public double lastKnownOpenAt() {
        return lastKnownOpenAt;
    }

    /** Tasks that wait to be started; none while the job waits for others. */
    public int pendingTaskCount() {
        return awaitDependencies ? 0 : pendingTasks.cardinality();
    }

    /** Jobs that it needs are not done yet. */
    public void awaitDependencies() {
        awaitDependencies = true;
    }

    /** Whether it waits for other jobs. */
    public boolean isAwaitingDependencies() {
        return awaitDependencies;
    }

    /** The last job that it needs is done: its class's times begin. */
    public void dependenciesDone(double now) {
        awaitDependencies = false;
        readyAt = now;
    }

    /** Loop time in seconds at which its tasks could first be started. */
    public double readyAt() {
        return readyAt;
    }

    /** What it is placed by. */
    public JobSpec effectiveSpec() {
        return effectiveSpec;
    }

    /** The highest rank among its own and those of the unfinished jobs that need it. */
    public void setEffectivePriority(JobSpec.Priority rank) {
        effectiveSpec = rank == spec.priority() ? spec : spec.withPriority(rank);
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

    /** The first task that waits to be started, or -1. */
    public int nextPendingTask() {
        return pendingTasks.nextSetBit(0);
    }

    /** Records that the task's last attempt failed. */
    public void markFailed(int task) {
        recordFailure.set(task);
    }

    /** Whether the task's last attempt failed. */
    public boolean hasFailed(int task) {
        return recordFailure.get(task);
    }

    /** Takes the task off the waiting ones and gives its new attempt's number. */
    public int startAttempt(int task) {
        pendingTasks.clear(task);
        recordFailure.clear(task);
        int number = lastAttempts.get(task) + 1;
        lastAttempts.put(task, number);
        return number;
    }

    /** From a durable record: the task has got as far as that attempt, which may be alive. */
    public void restoreAttempt(int task, int attempt, boolean live) {
        lastAttempts.put(task, attempt);
        if (live && finalStatus == null) {
            pendingTasks.clear(task);
        }
    }

    /** Records that the task is completed: it is not started again. */
    public void markDone(int task) {
        doneTasks.set(task);
        pendingTasks.clear(task);
    }

    /**
     * The task's attempt is proven gone; it waits again unless it is done or nobody wants it any
     * more.
     */
    public void requeue(int task) {
        if (finalStatus == null && !doneTasks.get(task)) {
            pendingTasks.set(task);
        }
    }

    /** The number of the task's last attempt; 0 before the first. */
    public int lastAttempt(int task) {
        return lastAttempts.get(task);
    }

    /** Loop time in seconds before which none of its tasks is started, after a failure. */
    public double startNotBefore() {
        return startNotBefore;
    }

    /** Where it failed since a task was last completed. */
    public Set<String> failedMachines() {
        return failedMachines.keySet();
    }

    /**
     * Where it failed of late: the next try goes elsewhere. Not for ever, or a job of which no task
     * can be completed would wait beside the only machines that fit it.
     */
    public Set<String> recentlyFailedMachines(double now) {
        Set<String> avoided = new HashSet<>();
        failedMachines.forEach(
                (machine, until) -> {
                    if (until > now) {
                        avoided.add(machine);
                    }
                });
        return avoided;
    }

    /** A task failed on that machine; true if this makes the job suspect. */
    public boolean recordFailure(
            String machine, double now, double firstPauseS, double longestPauseS) {
        boolean before = isCrashLooping();
        failedMachines.remove(machine);
        failedMachines.put(machine, now + longestPauseS);
        if (failedMachines.size() > MAX_FAILED_MACHINES) {
            failedMachines.remove(failedMachines.keySet().iterator().next());
        }
        if (isCrashLooping()) {
            startNotBefore =
                    now
                            + Math.min(
                                    longestPauseS,
                                    firstPauseS
                                            * Math.pow(
                                                    2,
                                                    failedMachines.size()
                                                            + recordEarlierFailure
                                                            - CRASH_LOOP_MACHINES));
        }
        return isCrashLooping() && !before;
    }

    /** A durable record says that the task failed where it was last tried. */
    public void recordEarlierFailure() {
        recordEarlierFailure = Math.min(MAX_FAILED_MACHINES, recordEarlierFailure + 1);
    }

    /**
     * What can be completed was not submitted with a mistake, whatever its bad machines have made
     * of it.
     */
    public void recordSuccess() {
        failedMachines.clear();
        recordEarlierFailure = 0;
        startNotBefore = 0;
    }

    /**
     * Failed on several machines and completed on none since: submitted with a mistake, as far as
     * anyone can tell. Such a job is tried one task at a time and after growing pauses, and neither
     * rents nor stops anything until a task is completed.
     */
    public boolean isCrashLooping() {
        return failedMachines.size() + recordEarlierFailure >= CRASH_LOOP_MACHINES;
    }

    /** How many of its tasks may be started now, beside those that may be alive. */
    public int startableTaskCount(boolean anyAlive) {
        return !isCrashLooping()
                ? pendingTaskCount()
                : anyAlive ? 0 : Math.min(1, pendingTaskCount());
    }
}
