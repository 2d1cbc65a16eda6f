package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.Map;
import java.util.Set;

/** A job with tasks that wait. */
public final class PlacementRequest {

    final JobSpec job;
    int waiting;
    final boolean guaranteed;
    final double submittedAt;

    /** Tasks of this job that may be alive, by zone. */
    final Map<String, Integer> perZone;

    /** Machines that are not to be used for this job now. */
    final Set<String> avoid;

    /** Tasks of this job that may be alive. */
    final int live;

    /**
     * Only machines that have its image will do for now: to fetch it would take longer than its
     * class may wait.
     */
    boolean warmOnly;

    /**
     * Nothing of it has begun for so long that it comes first: what is smaller or ranks higher
     * cannot hold it back for ever.
     */
    boolean overdue;

    /** Others are being stopped for it: the room that this frees is its own. */
    boolean promised;

    boolean madeRoom;

    /** Of a job that has only failed so far: nothing is stopped for it. */
    private boolean trial;

    boolean stuck;

    /** How long it has waited for each CPU that it still waits for. */
    double waitedForSize;

    /**
     * Creates a request for places for {@code waiting} tasks; {@code submittedAt} is a loop time.
     */
    public PlacementRequest(
            JobSpec job,
            int waiting,
            boolean guaranteed,
            double submittedAt,
            Map<String, Integer> perZone,
            Set<String> avoid) {
        this.job = job;
        this.waiting = waiting;
        this.guaranteed = guaranteed;
        this.submittedAt = submittedAt;
        this.perZone = perZone;
        this.avoid = avoid;
        this.live = perZone.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Sets whether it has waited so long that it comes first. */
    public void overdue(boolean late) {
        overdue = late;
    }

    /**
     * Within a team's queue what has waited longest for its size goes first: where more is asked
     * than can be done, whole jobs are done in time instead of parts of all of them, and a large
     * one's turn comes all the same.
     */
    public void waited(double seconds) {
        waitedForSize = job.service() ? 0 : seconds / (waiting * job.cpus());
    }

    /** Adds machines that are not to be used for this job now. */
    public void avoid(Set<String> machines) {
        avoid.addAll(machines);
    }

    /** Sets whether its job has only failed so far. */
    public void trial(boolean suspect) {
        trial = suspect;
    }

    /** Whether its job has only failed so far, so that nothing is stopped for it. */
    public boolean trial() {
        return trial;
    }

    /** Sets whether other tasks are being stopped to make room for it. */
    public void promised(boolean room) {
        promised = room;
    }

    /** Whether something was chosen to be stopped for it. */
    public boolean madeRoom() {
        return madeRoom;
    }

    /** The job whose tasks wait. */
    public JobSpec job() {
        return job;
    }

    /** Whether only machines with its image in their cache will do. */
    public boolean warmOnly() {
        return warmOnly;
    }

    /**
     * Sets whether only machines with its image will do; what was stuck by that is looked at again.
     */
    public void warmOnly(boolean only) {
        if (warmOnly && !only) {
            stuck = false;
        }
        warmOnly = only;
    }

    /** Tasks still without a place. */
    public int waiting() {
        return waiting;
    }

    /** Whether its team is within its guarantee. */
    public boolean guaranteed() {
        return guaranteed;
    }

    /**
     * No machine had room for it; where tasks wait and this is false, its team's limit holds them
     * up.
     */
    public boolean stuck() {
        return stuck;
    }
}
