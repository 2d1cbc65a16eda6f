package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.Job;

/**
 * One attempt to run a task on a machine. It counts as live from the time its intent is made
 * durable until a {@link TerminationProof} holds. Used on the owner thread only; times are loop
 * times in seconds.
 */
public final class Attempt {

    /** The phase of an attempt, as last reported by the heartbeats of its machine. */
    public enum Phase {
        /** The intent is being made durable; no run order has been sent. */
        INTENDED,
        /** The intent is durable and a run order may be in flight; no heartbeat has reported it. */
        ORDERED,
        PULLING,
        RUNNING,
        SAVING,
        /** Ended; the machine's heartbeats report the attempt until it is cleared. */
        ENDED
    }

    public final Job job;
    public final int task;
    public final int number;
    public final Machine machine;
    public final long incarnation;
    public final TaskRef taskRef;
    public final double intendedAt;

    Phase phase;

    /**
     * The newest fencing token of any run order sent as a direct message for this attempt. Such an
     * order may be executed late.
     */
    FencingToken directOrderToken;

    /**
     * Whether the attempt was restored from a durable record of an earlier leader. That leader may
     * have cleared it, so no further run order is sent for it.
     */
    boolean restored;

    double runningSince = Double.NaN;

    /** Whether this leader observed the start of the process, so that its run time is known. */
    boolean startObserved;

    boolean stopRequested;
    double gracePeriodS;

    /**
     * Whether the end of the attempt is durable or needs no record, so that the agent may clear it
     * without loss.
     */
    boolean acknowledged;

    Attempt(
            Job job,
            int task,
            int number,
            Machine machine,
            long incarnation,
            Phase phase,
            FencingToken directOrderToken,
            double intendedAt) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.machine = machine;
        this.incarnation = incarnation;
        this.phase = phase;
        this.directOrderToken = directOrderToken;
        this.intendedAt = intendedAt;
        this.taskRef = new TaskRef(job.spec.id(), task);
    }

    /** Returns the phase last observed by this leader. */
    public Phase phase() {
        return phase;
    }

    /** Whether the attempt has not been proven to have ended. */
    public boolean live() {
        return phase != Phase.ENDED;
    }

    /** Whether the process is running or saving a checkpoint. */
    public boolean running() {
        return phase == Phase.RUNNING || phase == Phase.SAVING;
    }

    /** Whether a stop was requested; the order is repeated until the attempt has provably ended. */
    public boolean stopRequested() {
        return stopRequested;
    }

    /** Grace period in seconds for the process to exit by itself after a stop order. */
    public double gracePeriodS() {
        return gracePeriodS;
    }

    /** Loop time in seconds at which the process was first observed running; NaN before. */
    public double runningSince() {
        return runningSince;
    }

    /** Seconds that the process has been running at loop time {@code now}; 0 if not running. */
    public double runTimeS(double now) {
        return running() ? now - runningSince : 0;
    }

    /**
     * Marks the end of the attempt as durable. It may be cleared once no late order can start it
     * again.
     */
    public void acknowledge() {
        acknowledged = true;
    }
}
