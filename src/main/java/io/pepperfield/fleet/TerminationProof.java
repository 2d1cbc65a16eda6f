package io.pepperfield.fleet;

/** Why an attempt is certain not to be alive, nor to start any more. */
enum TerminationProof {
    /** The intent was withdrawn before an order left for it. */
    NEVER_ORDERED,

    /**
     * The agent reports the attempt ended. It holds the attempt until cleared, so that no late
     * order starts it again.
     */
    REPORTED_ENDED,

    /**
     * The agent runs in a later incarnation: before it began it has killed all earlier attempts.
     */
    NEWER_INCARNATION,

    /** The cloud has confirmed that the machine is gone with everything on it. */
    INSTANCE_RELEASED,

    /**
     * The agent's own heartbeat does not hold the attempt, and it has seen a newer fencing token
     * than any order for the attempt carried.
     */
    ABSENT_FROM_HEARTBEAT
}
