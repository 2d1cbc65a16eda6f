package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** One pipeline of which a job is cancelled at a chosen moment. */
final class SimPipeline {

    private static final double STEP_S = 0.05;

    private final SimWorld world;
    private final SimUsers users;
    private final PipelineShape shape;
    private final List<JobPlan> plans;
    private final int cancelled;
    private final CancelMoment moment;
    private int submitted;
    private boolean cancelAsked;

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

    /** Submits what may be submitted by now, cancels when it is time, and comes back soon. */
    void step() {
        boolean named = false;
        while (submitted < plans.size() && acceptedBefore(submitted)) {
            JobPlan next = plans.get(submitted++);
            users.submit(next);
            named |= next.dependencies().contains(plans.get(cancelled).id());
        }
        if (!cancelAsked && submitted > cancelled && job(cancelled).accepted && due(named)) {
            cancelAsked = true;
            users.cancel(job(cancelled));
        }
        if (submitted < plans.size()
                || !cancelAsked && !job(cancelled).lastStatus.equals("cancelled")) {
            world.after(STEP_S, this::step);
        }
    }

    private SimJob job(int index) {
        return users.jobs.get(plans.get(index).id());
    }

    private boolean acceptedBefore(int index) {
        return plans.get(index).dependencies().stream().allMatch(id -> users.jobs.get(id).accepted);
    }

    private boolean due(boolean named) {
        SimJob job = job(cancelled);
        return switch (moment) {
            case ACCEPTED -> true;
            case DEPENDENT_SUBMITTED -> named || cancelled == plans.size() - 1;
            case RUNNING -> !job.workersByTask.isEmpty() || job.isComplete();
            case COMPLETE -> job.isComplete();
            case DONE -> job.lastStatus.equals("done");
        };
    }

    boolean wasCancelled() {
        return job(cancelled).lastStatus.equals("cancelled");
    }

    /** Jobs that are not cancelled though one before them is, or are though nobody asked. */
    List<String> unexpectedFinalStates() {
        List<String> wrong = new ArrayList<>();
        Set<Integer> lost = new TreeSet<>();
        for (int i = 0; i < plans.size(); i++) {
            boolean needsLost = false;
            for (int needed : shape.dependencies(i)) {
                needsLost |= lost.contains(needed);
            }
            if (needsLost || job(i).cancelRequested && job(i).lastStatus.equals("cancelled")) {
                lost.add(i);
            }
            String want = lost.contains(i) ? "cancelled" : "done";
            if (!job(i).lastStatus.equals(want)) {
                wrong.add(plans.get(i).id() + " is " + job(i).lastStatus + ", not " + want);
            }
        }
        return wrong;
    }
}
