package io.pepperfield.standin;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Rules for jobs with dependencies, checked while a simulation runs. */
final class PipelineRules {

    private final SimWorld world;
    private final List<String> violations;
    private final Map<String, SimJob> jobs;
    private final Predicate<String> durablyDone;

    /**
     * @param durablyDone tests whether the state service stores {@code done} as the final state of
     *     a job
     */
    PipelineRules(
            SimWorld world,
            List<String> violations,
            Map<String, SimJob> jobs,
            Predicate<String> durablyDone) {
        this.world = world;
        this.violations = violations;
        this.jobs = jobs;
        this.durablyDone = durablyDone;
    }

    private void reportViolation(String description) {
        violations.add(world.now() + " " + description);
    }

    /**
     * Checks, when a task starts, that all dependencies of its job are durably done. Completed
     * tasks of a dependency are not enough: a final state that is not durable may still become
     * {@code cancelled}.
     */
    void checkTaskStart(SimJob job, String task) {
        for (String dependency : job.plan.dependencies()) {
            if (!jobs.get(dependency).isComplete() || !durablyDone.test(dependency)) {
                reportViolation(
                        "too_early: " + task + " before " + dependency + " is durably done");
            }
        }
    }

    /**
     * Returns the earliest time at which a direct or indirect dependency of the job was reported to
     * a user as cancelled, or infinity if there is none.
     */
    double ancestorCancelledAt(SimJob job) {
        double[] first = {Double.POSITIVE_INFINITY};
        visitAncestors(
                job,
                ancestor -> {
                    if (!Double.isNaN(ancestor.cancelledAt)) {
                        first[0] = Math.min(first[0], ancestor.cancelledAt);
                    }
                });
        return first[0];
    }

    /** Like {@link #ancestorCancelledAt}, but includes the job itself. */
    double cancelledAt(SimJob job) {
        double own = Double.isNaN(job.cancelledAt) ? Double.POSITIVE_INFINITY : job.cancelledAt;
        return Math.min(own, ancestorCancelledAt(job));
    }

    /** Whether a cancellation of the job, or of one of its dependencies, was requested. */
    boolean isCancellationRequested(SimJob job) {
        boolean[] requested = {job.cancelRequested};
        visitAncestors(job, ancestor -> requested[0] |= ancestor.cancelRequested);
        return requested[0];
    }

    private void visitAncestors(SimJob job, Consumer<SimJob> visit) {
        ArrayDeque<SimJob> pending = new ArrayDeque<>(List.of(job));
        Set<String> seen = new HashSet<>();
        while (!pending.isEmpty()) {
            for (String dependency : pending.poll().plan.dependencies()) {
                if (seen.add(dependency)) {
                    visit.accept(jobs.get(dependency));
                    pending.add(jobs.get(dependency));
                }
            }
        }
    }

    /**
     * Checks the status of a job in a response.
     *
     * @param requestedAt when the request was sent
     * @param ancestorCancelledAt value of {@link #ancestorCancelledAt(SimJob)} when the request was
     *     sent
     */
    void checkAnswer(SimJob job, String status, double requestedAt, double ancestorCancelledAt) {
        String report = job.plan.id() + " is " + status + ", requested at " + requestedAt;
        if (!SimJob.isFinal(status)
                && requestedAt > SimulatedRegion.CANCELLATION_DEADLINE_S + ancestorCancelledAt) {
            reportViolation("orphaned: " + report);
        }
        // Stricter than the specification, which allows cancel_s for the cancellation to take
        // effect: a response must not be older than an earlier report on a dependency of the job.
        if (!SimJob.isFinal(status) && requestedAt > ancestorCancelledAt) {
            reportViolation(
                    "went_back: "
                            + report
                            + ", although a dependency was cancelled at "
                            + ancestorCancelledAt);
        }
        if (status.equals("done") && ancestorCancelledAt(job) < Double.POSITIVE_INFINITY) {
            reportViolation("went_back: " + report + ", although a dependency is cancelled");
        }
    }
}
