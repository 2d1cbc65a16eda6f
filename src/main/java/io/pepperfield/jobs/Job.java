package io.pepperfield.jobs;

import io.pepperfield.predict.PeerTimes;
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
    private static final int SUSPECT = 2;

    private static final int REMEMBERED = 8;

    public final JobSpec spec;

    /** Run times of this job's tasks: what WIRE predicts from. */
    public final PeerTimes times = new PeerTimes();

    /** When this leader's clock says it was submitted, or its last prerequisite was done. */
    private double readyAt;

    /**
     * It needs jobs that are not done yet: until then it holds nothing and stands in nobody's way.
     */
    private boolean awaiting;

    /** Its description with the rank of {@link RankInheritance}. */
    private JobSpec placed;

    private final BitSet waiting;
    private final BitSet done;

    /** Tasks of which the last attempt failed. */
    private final BitSet failed = new BitSet();

    private final Int2IntMap attempts = new Int2IntOpenHashMap();
    private Status end;
    private double openAsOf;

    /**
     * Machines on which a task failed since one of the job was last completed, the last few of
     * them, and until when to avoid them.
     */
    private final LinkedHashMap<String, Double> failedOn = new LinkedHashMap<>();

    /** Tasks that durable records call failed, from before this leader. */
    private int failedBefore;

    private double notBefore;

    /** Creates the state of a job none of whose tasks has been started. */
    public Job(JobSpec spec, double submittedAt) {
        this.spec = spec;
        this.placed = spec;
        this.readyAt = submittedAt;
        this.waiting = new BitSet(spec.tasks());
        this.waiting.set(0, spec.tasks());
        this.done = new BitSet(spec.tasks());
    }

    /** The final state, or null. */
    public Status end() {
        return end;
    }

    /**
     * @param asOf a time at which it had not ended yet
     */
    public void end(Status status, double asOf) {
        end = status;
        openAsOf = asOf;
        waiting.clear();
    }

    /** Of a job that has ended: a time at which it had not. */
    public double openAsOf() {
        return openAsOf;
    }

    /** Tasks that wait to be started; none while the job waits for others. */
    public int waitingCount() {
        return awaiting ? 0 : waiting.cardinality();
    }

    /** Jobs that it needs are not done yet. */
    public void awaiting() {
        awaiting = true;
    }

    /** Whether it waits for other jobs. */
    public boolean isAwaiting() {
        return awaiting;
    }

    /** The last job that it needs is done: its class's times begin. */
    public void ready(double now) {
        awaiting = false;
        readyAt = now;
    }

    /** Loop time in seconds at which its tasks could first be started. */
    public double readyAt() {
        return readyAt;
    }

    /** What it is placed by. */
    public JobSpec placed() {
        return placed;
    }

    /** The highest rank among its own and those of the unfinished jobs that need it. */
    public void placedAs(JobSpec.Rank rank) {
        placed = rank == spec.rank() ? spec : spec.ranked(rank);
    }

    /** The number of completed tasks. */
    public int doneCount() {
        return done.cardinality();
    }

    /** Whether all its tasks are completed. */
    public boolean allDone() {
        return doneCount() == spec.tasks();
    }

    /** Whether the task is completed. */
    public boolean isDone(int task) {
        return done.get(task);
    }

    /** The first task that waits to be started, or -1. */
    public int nextWaiting() {
        return waiting.nextSetBit(0);
    }

    /** Records that the task's last attempt failed. */
    public void markFailed(int task) {
        failed.set(task);
    }

    /** Whether the task's last attempt failed. */
    public boolean hasFailed(int task) {
        return failed.get(task);
    }

    /** Takes the task off the waiting ones and gives its new attempt's number. */
    public int begin(int task) {
        waiting.clear(task);
        failed.clear(task);
        int number = attempts.get(task) + 1;
        attempts.put(task, number);
        return number;
    }

    /** From a durable record: the task has got as far as that attempt, which may be alive. */
    public void restore(int task, int attempt, boolean live) {
        attempts.put(task, attempt);
        if (live && end == null) {
            waiting.clear(task);
        }
    }

    /** Records that the task is completed: it is not started again. */
    public void markDone(int task) {
        done.set(task);
        waiting.clear(task);
    }

    /**
     * The task's attempt is proven gone; it waits again unless it is done or nobody wants it any
     * more.
     */
    public void requeue(int task) {
        if (end == null && !done.get(task)) {
            waiting.set(task);
        }
    }

    /** The number of the task's last attempt; 0 before the first. */
    public int attempt(int task) {
        return attempts.get(task);
    }

    /** Loop time in seconds before which none of its tasks is started, after a failure. */
    public double notBefore() {
        return notBefore;
    }

    /** Where it failed since a task was last completed. */
    public Set<String> failedOn() {
        return failedOn.keySet();
    }

    /**
     * Where it failed of late: the next try goes elsewhere. Not for ever, or a job of which no task
     * can be completed would wait beside the only machines that fit it.
     */
    public Set<String> avoided(double now) {
        Set<String> avoided = new HashSet<>();
        failedOn.forEach(
                (machine, until) -> {
                    if (until > now) {
                        avoided.add(machine);
                    }
                });
        return avoided;
    }

    /** A task failed on that machine; true if this makes the job suspect. */
    public boolean failed(String machine, double now, double firstPauseS, double longestPauseS) {
        boolean before = suspect();
        failedOn.remove(machine);
        failedOn.put(machine, now + longestPauseS);
        if (failedOn.size() > REMEMBERED) {
            failedOn.remove(failedOn.keySet().iterator().next());
        }
        if (suspect()) {
            notBefore =
                    now
                            + Math.min(
                                    longestPauseS,
                                    firstPauseS
                                            * Math.pow(
                                                    2, failedOn.size() + failedBefore - SUSPECT));
        }
        return suspect() && !before;
    }

    /** A durable record says that the task failed where it was last tried. */
    public void failedBefore() {
        failedBefore = Math.min(REMEMBERED, failedBefore + 1);
    }

    /**
     * What can be completed was not submitted with a mistake, whatever its bad machines have made
     * of it.
     */
    public void succeeded() {
        failedOn.clear();
        failedBefore = 0;
        notBefore = 0;
    }

    /**
     * Failed on several machines and completed on none since: submitted with a mistake, as far as
     * anyone can tell. Such a job is tried one task at a time and after growing pauses, and neither
     * rents nor stops anything until a task is completed.
     */
    public boolean suspect() {
        return failedOn.size() + failedBefore >= SUSPECT;
    }

    /** How many of its tasks may be started now, beside those that may be alive. */
    public int startable(boolean anyAlive) {
        return !suspect() ? waitingCount() : anyAlive ? 0 : Math.min(1, waitingCount());
    }
}
