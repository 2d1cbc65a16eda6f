package io.pepperfield.jobs;

import io.pepperfield.predict.PeerTimes;
import it.unimi.dsi.fastutil.ints.Int2IntMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;

import java.util.BitSet;

/** The leader's working state of one accepted job. */
public final class Job {

    public final JobSpec spec;
    /** Run times of this job's tasks: what WIRE predicts from. */
    public final PeerTimes times = new PeerTimes();
    /** When this leader's clock says it was submitted. */
    public final double submittedAt;
    private final BitSet waiting;
    private final BitSet done;
    private final Int2IntMap attempts = new Int2IntOpenHashMap();
    private Status end;
    private int errors;
    private double notBefore;

    public Job(JobSpec spec, double submittedAt) {
        this.spec = spec;
        this.submittedAt = submittedAt;
        this.waiting = new BitSet(spec.tasks());
        this.waiting.set(0, spec.tasks());
        this.done = new BitSet(spec.tasks());
    }

    /** The final state, or null. */
    public Status end() {
        return end;
    }

    public void end(Status status) {
        end = status;
        waiting.clear();
    }

    public int waitingCount() {
        return waiting.cardinality();
    }

    public int doneCount() {
        return done.cardinality();
    }

    public boolean allDone() {
        return doneCount() == spec.tasks();
    }

    public boolean isDone(int task) {
        return done.get(task);
    }

    /** The first task that waits to be started, or -1. */
    public int nextWaiting() {
        return waiting.nextSetBit(0);
    }

    /** Takes the task off the waiting ones and gives its new attempt's number. */
    public int begin(int task) {
        waiting.clear(task);
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

    public void markDone(int task) {
        done.set(task);
        waiting.clear(task);
    }

    /** The task's attempt is proven gone; it waits again unless it is done or nobody wants it any more. */
    public void requeue(int task) {
        if (end == null && !done.get(task)) {
            waiting.set(task);
        }
    }

    public int attempt(int task) {
        return attempts.get(task);
    }

    public double notBefore() {
        return notBefore;
    }

    /** A job that was submitted with a mistake fails everywhere; it must not keep machines busy until it is cancelled. */
    public void failed(double now, double firstPauseS, double longestPauseS) {
        errors++;
        // The first errors are more likely the machine's fault than the job's.
        if (errors > 2) {
            notBefore = now + Math.min(longestPauseS, firstPauseS * Math.pow(2, errors - 3));
        }
    }

    public void succeeded() {
        errors = 0;
    }
}
