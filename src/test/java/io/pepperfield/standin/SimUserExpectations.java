package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the users expect once all is well: answers about every job, and no waiting beside room. */
final class SimUserExpectations {

    /** A job of which nothing is heard for so long once all is well counts as forgotten. */
    private static final double MAX_UNANSWERED_S = 75;

    /** A job may wait so long although there is room for it. */
    private static final double MAX_WAIT_S = 90;

    private final SimWorld world;
    private final List<String> violations;
    private final SimMachines machines;
    private final Map<String, SimJob> jobs;
    private final List<String> leftWaiting = new ArrayList<>();

    SimUserExpectations(
            SimWorld world,
            List<String> violations,
            SimMachines machines,
            Map<String, SimJob> jobs) {
        this.world = world;
        this.violations = violations;
        this.machines = machines;
        this.jobs = jobs;
    }

    private void violation(String what) {
        violations.add(world.now() + " " + what);
    }

    /**
     * To be called every second.
     *
     * @param calmAt when all faults are over; only then users expect to be served
     */
    void check(double calmAt) {
        double now = world.now();
        for (SimJob job : jobs.values()) {
            if (!job.accepted) {
                continue;
            }
            if (now - Math.max(calmAt, job.lastAnswerAt) > MAX_UNANSWERED_S
                    && !job.unansweredReported) {
                violation(
                        "forgotten: no question about "
                                + job.plan.id()
                                + " answered since "
                                + job.lastAnswerAt);
                job.unansweredReported = true;
            }
            boolean ready =
                    job.plan.dependencies().stream()
                            .allMatch(needed -> jobs.get(needed).isComplete());
            boolean waits =
                    now > calmAt
                            && ready
                            && !job.isFinished()
                            && !job.plan.alwaysFails()
                            && !job.isComplete()
                            && job.workersByTask.isEmpty()
                            && machines.fits(job);
            if (!waits) {
                job.waitingSince = now;
            } else if (now - job.waitingSince > MAX_WAIT_S) {
                leftWaiting.add(
                        job.plan.id()
                                + " waits since "
                                + job.waitingSince
                                + " though there is room");
                job.waitingSince = Double.POSITIVE_INFINITY;
            }
        }
    }

    /**
     * Jobs that are neither over nor running, and those that waited too long though there was room.
     */
    List<String> leftoverJobs() {
        List<String> left = new ArrayList<>(leftWaiting);
        jobs.values().stream()
                .filter(job -> job.accepted && !job.isFinished() && job.workersByTask.isEmpty())
                .forEach(job -> left.add(job.plan.id() + " is " + job.lastStatus + " at the end"));
        return left;
    }

    List<String> unfinishedJobs() {
        return jobs.values().stream()
                .filter(job -> !job.isFinished())
                .map(
                        job ->
                                job.plan.id()
                                        + " "
                                        + job.lastStatus
                                        + " "
                                        + job.completedTasks.size()
                                        + "/"
                                        + job.plan.tasks())
                .toList();
    }
}
