package io.pepperfield.dispatch;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import java.util.List;

/**
 * What one pass has decided.
 *
 * @param actions starts and preemptions, in the order in which they are carried out
 * @param reservations jobs for which the preemptions free capacity
 */
record DispatchPlan(List<Action> actions, List<Job> preemptingJobs) {

    /** One step of the plan. */
    sealed interface Action permits Start, Preempt {}

    /** The job's next pending task starts on the machine. */
    record Start(Job job, Machine machine) implements Action {}

    /** The attempt is stopped to free capacity. */
    record Preempt(Attempt attempt) implements Action {}

    DispatchPlan {
        actions = List.copyOf(actions);
        preemptingJobs = List.copyOf(preemptingJobs);
    }
}
