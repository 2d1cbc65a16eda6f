package io.pepperfield.fleet;

/** A command to a worker's agent about one attempt; {@link WorkerProtocol} encodes it. */
public sealed interface Order {

    /** The task that the order is about. */
    TaskRef taskRef();

    /** The number of the attempt that the order is about. */
    int attemptNumber();

    /** Starts an attempt. */
    record Run(TaskRef taskRef, int attemptNumber) implements Order {}

    /**
     * Stops an attempt.
     *
     * @param gracePeriodS seconds that its process is given to end by itself
     */
    record Stop(TaskRef taskRef, int attemptNumber, double gracePeriodS) implements Order {}

    /** Lets the agent forget an attempt that has ended. */
    record Clear(TaskRef taskRef, int attemptNumber) implements Order {}
}
