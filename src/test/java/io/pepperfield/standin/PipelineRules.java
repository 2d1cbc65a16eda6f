package io.pepperfield.standin;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The rules for jobs that need others, checked as things happen. */
final class PipelineRules {

    private final SimWorld world;
    private final List<String> violations;
    private final Map<String, SimJob> jobs;
    private final Predicate<String> durablyDone;

    /**
     * @param durablyDone whether the state service holds the job's final state {@code done}
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

    private void violation(String what) {
        violations.add(world.now() + " " + what);
    }

    /**
     * A task starts. That the tasks of a needed job are completed is not enough: a final state that
     * is not durable may still become {@code cancelled}.
     */
    void checkTaskStart(SimJob job, String task) {
        for (String needed : job.plan.dependencies()) {
            if (!jobs.get(needed).isComplete() || !durablyDone.test(needed)) {
                violation("too_early: " + task + " before " + needed + " is durably done");
            }
        }
    }

    /**
     * The first moment at which a user was told that one of the jobs it needs, directly or through
     * others, is cancelled; infinite where there is none.
     */
    double ancestorCancelledAt(SimJob job) {
        double[] first = {Double.POSITIVE_INFINITY};
        ancestors(
                job,
                before -> {
                    if (!Double.isNaN(before.cancelledAt)) {
                        first[0] = Math.min(first[0], before.cancelledAt);
                    }
                });
        return first[0];
    }

    /** As {@link #ancestorCancelledAt}, of the job itself too. */
    double cancelledAt(SimJob job) {
        double own = Double.isNaN(job.cancelledAt) ? Double.POSITIVE_INFINITY : job.cancelledAt;
        return Math.min(own, ancestorCancelledAt(job));
    }

    /** Whether its user or that of a job that it needs has asked to cancel it. */
    boolean isCancellationRequested(SimJob job) {
        boolean[] asked = {job.cancelRequested};
        ancestors(job, before -> asked[0] |= before.cancelRequested);
        return asked[0];
    }

    private void ancestors(SimJob job, Consumer<SimJob> visit) {
        ArrayDeque<SimJob> open = new ArrayDeque<>(List.of(job));
        Set<String> seen = new HashSet<>();
        while (!open.isEmpty()) {
            for (String needed : open.poll().plan.dependencies()) {
                if (seen.add(needed)) {
                    visit.accept(jobs.get(needed));
                    open.add(jobs.get(needed));
                }
            }
        }
    }

    /**
     * A node has answered with a job's state.
     *
     * @param ancestorCancelledAt as of when the question left
     */
    void checkAnswer(SimJob job, String status, double askedAt, double ancestorCancelledAt) {
        String told = job.plan.id() + " is " + status + ", asked at " + askedAt;
        if (!SimJob.isFinal(status)
                && askedAt > SimulatedRegion.CANCELLATION_DEADLINE_S + ancestorCancelledAt) {
            violation("orphaned: " + told);
        }
        // Beyond the letter, which leaves cancel_s for it: no answer is older than what a user was
        // told of a job before it.
        if (!SimJob.isFinal(status) && askedAt > ancestorCancelledAt) {
            violation(
                    "went_back: "
                            + told
                            + ", one before it was cancelled at "
                            + ancestorCancelledAt);
        }
        if (status.equals("done") && ancestorCancelledAt(job) < Double.POSITIVE_INFINITY) {
            violation("went_back: " + told + ", but one before it is cancelled");
        }
    }
}
