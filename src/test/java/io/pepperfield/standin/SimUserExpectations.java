package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the users expect once all is well: answers about every job, and no waiting beside room. */
final class SimUserExpectations {

    /** A job of which nothing is heard for so long once all is well counts as forgotten. */
    private static final double FORGOTTEN_S = 75;

    /** A job may wait so long although there is room for it. */
    private static final double WAIT_S = 90;

    private final SimWorld world;
    private final List<String> broken;
    private final SimMachines machines;
    private final Map<String, SimJob> jobs;
    private final List<String> leftWaiting = new ArrayList<>();

    SimUserExpectations(
            SimWorld world, List<String> broken, SimMachines machines, Map<String, SimJob> jobs) {
        this.world = world;
        this.broken = broken;
        this.machines = machines;
        this.jobs = jobs;
    }

    private void says(String what) {
        broken.add(world.now() + " " + what);
    }

    /**
     * To be called every second.
     *
     * @param calmAt when all troubles are over; only then users expect to be served
     */
    void check(double calmAt) {
        double now = world.now();
        for (SimJob job : jobs.values()) {
            if (!job.accepted) {
                continue;
            }
            if (now - Math.max(calmAt, job.answeredAt) > FORGOTTEN_S && !job.saidForgotten) {
                says(
                        "forgotten: no question about "
                                + job.plan.id()
                                + " answered since "
                                + job.answeredAt);
                job.saidForgotten = true;
            }
            boolean ready =
                    job.plan.awaits().stream().allMatch(needed -> jobs.get(needed).complete());
            boolean waits =
                    now > calmAt
                            && ready
                            && !job.over()
                            && !job.plan.mistaken()
                            && !job.complete()
                            && job.on.isEmpty()
                            && machines.fits(job);
            if (!waits) {
                job.waitsSince = now;
            } else if (now - job.waitsSince > WAIT_S) {
                leftWaiting.add(
                        job.plan.id() + " waits since " + job.waitsSince + " though there is room");
                job.waitsSince = Double.POSITIVE_INFINITY;
            }
        }
    }

    /**
     * Jobs that are neither over nor running, and those that waited too long though there was room.
     */
    List<String> leftOver() {
        List<String> left = new ArrayList<>(leftWaiting);
        jobs.values().stream()
                .filter(job -> job.accepted && !job.over() && job.on.isEmpty())
                .forEach(job -> left.add(job.plan.id() + " is " + job.last + " at the end"));
        return left;
    }

    List<String> unfinished() {
        return jobs.values().stream()
                .filter(job -> !job.over())
                .map(
                        job ->
                                job.plan.id()
                                        + " "
                                        + job.last
                                        + " "
                                        + job.completed.size()
                                        + "/"
                                        + job.plan.tasks())
                .toList();
    }
}
