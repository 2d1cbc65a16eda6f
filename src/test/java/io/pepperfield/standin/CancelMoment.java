package io.pepperfield.standin;

/** The stage of a pipeline's job at which its user cancels it. */
public enum CancelMoment {
    /** As soon as the job is accepted. */
    ACCEPTED,
    /** When the first job that depends on it is submitted, possibly at another node. */
    DEPENDENT_SUBMITTED,
    /** Once one of its tasks has started. */
    RUNNING,
    /** Once its last task has ended, while its final state may not be durable yet. */
    COMPLETE,
    /** Once its status is reported as done: the cancellation must not change the status. */
    DONE
}
