package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** A pipeline with one job that is cancelled at a given moment. */
final class SimPipeline {

    private static final double STEP_S = 0.05;

    private final SimWorld world;
    private final SimUsers users;
    private final PipelineShape shape;
    private final List<JobPlan> plans;
    private final int cancelled;
    private final CancelMoment moment;
    private int submitted;
    private boolean cancelSent;

    SimPipeline(
            SimWorld world,
            SimUsers users,
            PipelineShape shape,
            List<JobPlan> plans,
            int cancelled,
            CancelMoment moment) {
        this.world = world;
        this.users = users;
        this.shape = shape;
        this.plans = plans;
        this.cancelled = cancelled;
        this.moment = moment;
    }

    /**
     * Submits the jobs whose dependencies are accepted, cancels the chosen job if its moment has
     * come, and schedules the next step until both are complete.
     */
    void step() {
        boolean dependentSubmitted = false;
        while (submitted < plans.size() && dependenciesAccepted(submitted)) {
            JobPlan next = plans.get(submitted++);
            users.submit(next);
            dependentSubmitted |= next.dependencies().contains(plans.get(cancelled).id());
        }
        if (!cancelSent
                && submitted > cancelled
                && job(cancelled).accepted
                && isCancellationDue(dependentSubmitted)) {
            cancelSent = true;
            users.cancel(job(cancelled));
        }
        if (submitted < plans.size()
                || !cancelSent && !job(cancelled).lastStatus.equals("cancelled")) {
            world.after(STEP_S, this::step);
        }
    }

    private SimJob job(int index) {
        return users.jobs.get(plans.get(index).id());
    }

    private boolean dependenciesAccepted(int index) {
        return plans.get(index).dependencies().stream().allMatch(id -> users.jobs.get(id).accepted);
    }

    private boolean isCancellationDue(boolean dependentSubmitted) {
        SimJob job = job(cancelled);
        return switch (moment) {
            case ACCEPTED -> true;
            case DEPENDENT_SUBMITTED -> dependentSubmitted || cancelled == plans.size() - 1;
            case RUNNING -> !job.workersByTask.isEmpty() || job.isComplete();
            case COMPLETE -> job.isComplete();
            case DONE -> job.lastStatus.equals("done");
        };
    }

    boolean wasCancelled() {
        return job(cancelled).lastStatus.equals("cancelled");
    }

    /**
     * Returns the jobs that are not cancelled although a dependency is, or are cancelled without a
     * request.
     */
    List<String> unexpectedFinalStates() {
        List<String> unexpected = new ArrayList<>();
        Set<Integer> cancelledJobs = new TreeSet<>();
        for (int i = 0; i < plans.size(); i++) {
            boolean dependencyCancelled = false;
            for (int dependency : shape.dependencies(i)) {
                dependencyCancelled |= cancelledJobs.contains(dependency);
            }
            if (dependencyCancelled
                    || job(i).cancelRequested && job(i).lastStatus.equals("cancelled")) {
                cancelledJobs.add(i);
            }
            String expected = cancelledJobs.contains(i) ? "cancelled" : "done";
            if (!job(i).lastStatus.equals(expected)) {
                unexpected.add(
                        plans.get(i).id() + " is " + job(i).lastStatus + ", expected " + expected);
            }
        }
        return unexpected;
    }
}
