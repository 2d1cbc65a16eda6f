package io.pepperfield.dispatch;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import java.util.List;

/**
 * The decisions of one scheduling pass.
 *
 * @param actions starts and preemptions, in the order of their execution
 * @param preemptingJobs jobs for which the preemptions free capacity, which is then reserved
 */
record DispatchPlan(List<Action> actions, List<Job> preemptingJobs) {

    /** A step of the plan. */
    sealed interface Action permits Start, Preempt {}

    /** Starts the job's next pending task on the machine. */
    record Start(Job job, Machine machine) implements Action {}

    /** Stops the attempt to free capacity. */
    record Preempt(Attempt attempt) implements Action {}

    DispatchPlan {
        actions = List.copyOf(actions);
        preemptingJobs = List.copyOf(preemptingJobs);
    }
}
