package io.pepperfield.fleet;

/** A command to a worker's agent about one attempt; {@link WorkerProtocol} encodes it. */
public sealed interface Order {

    /** The task that the order applies to. */
    TaskRef taskRef();

    /** The number of the attempt that the order applies to. */
    int attemptNumber();

    /** Starts an attempt. */
    record Run(TaskRef taskRef, int attemptNumber) implements Order {}

    /**
     * Stops an attempt.
     *
     * @param gracePeriodS grace period in seconds for the process to exit by itself
     */
    record Stop(TaskRef taskRef, int attemptNumber, double gracePeriodS) implements Order {}

    /** Makes the agent delete its record of an attempt that has ended. */
    record Clear(TaskRef taskRef, int attemptNumber) implements Order {}
}
