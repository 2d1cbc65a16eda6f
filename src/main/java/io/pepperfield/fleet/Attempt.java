package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.Job;

/**
 * One start of one task on one machine; possibly alive from its durable intent until a {@link
 * TerminationProof} holds. Used on the owner thread only; times are loop times in seconds.
 */
public final class Attempt {

    /** How far an attempt has come, as its machine's heartbeats show it. */
    public enum Phase {
        /** The intent is being made durable; no order has left. */
        INTENDED,
        /** Durable; the order may be on its way, the machine has not shown it. */
        ORDERED,
        PULLING,
        RUNNING,
        SAVING,
        /** Ended on its machine, whose heartbeats show it until it is cleared. */
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
     * The newest token with which a run order may have been sent directly, and so may be carried
     * out late.
     */
    FencingToken directOrderToken;

    /**
     * Restored from a durable record of an earlier leader, which may have cleared it: no run order
     * is sent for it again.
     */
    boolean restored;

    double runningSince = Double.NaN;

    /** Whether this leader has seen it start, so that the time that it runs is known. */
    boolean startObserved;

    boolean stopRequested;
    double gracePeriodS;

    /** Whether its end is durable or of no consequence, so that nothing is lost by clearing it. */
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

    /** How far it has come. */
    public Phase phase() {
        return phase;
    }

    /** Alive as far as anyone can prove. */
    public boolean live() {
        return phase != Phase.ENDED;
    }

    /** Whether its process runs or saves a checkpoint. */
    public boolean running() {
        return phase == Phase.RUNNING || phase == Phase.SAVING;
    }

    /** Whether it is to be stopped; the order is repeated until the attempt is proven gone. */
    public boolean stopRequested() {
        return stopRequested;
    }

    /** Seconds that its process is given to end by itself when it is stopped. */
    public double gracePeriodS() {
        return gracePeriodS;
    }

    /** Loop time since which it runs, NaN before. */
    public double runningSince() {
        return runningSince;
    }

    /** Seconds that it has run at that loop time; 0 where it does not run. */
    public double runTimeS(double now) {
        return running() ? now - runningSince : 0;
    }

    /** What ended it is durable now: it may be cleared once no late order can bring it back. */
    public void acknowledge() {
        acknowledged = true;
    }
}
