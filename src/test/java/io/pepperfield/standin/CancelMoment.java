package io.pepperfield.standin;

/** The stage of a pipeline's job at which its user cancels it. */
public enum CancelMoment {
    /** As soon as it is accepted. */
    ACCEPTED,
    /** At the same time as the first job that needs it is submitted, perhaps at another node. */
    DEPENDENT_SUBMITTED,
    /** Once a task of it has started. */
    RUNNING,
    /** Once its last task has ended, while its final state may not be durable yet. */
    COMPLETE,
    /** Once its user was told that it is done: the answer must be the same. */
    DONE
}
