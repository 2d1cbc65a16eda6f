package io.pepperfield.fleet;

/** Proof that an attempt is not running and cannot start any more. */
enum TerminationProof {
    /** The intent was withdrawn before any order was sent for the attempt. */
    NEVER_ORDERED,

    /**
     * The agent reports the attempt as ended. It keeps a record of the attempt until cleared, so
     * that no late order starts it again.
     */
    REPORTED_ENDED,

    /** The agent runs in a later incarnation, before which it killed all earlier attempts. */
    NEWER_INCARNATION,

    /** The cloud has confirmed the release of the machine, which ends all attempts on it. */
    INSTANCE_RELEASED,

    /**
     * A heartbeat sent by the agent itself does not list the attempt, and the agent has seen a
     * newer fencing token than that of any order for the attempt.
     */
    ABSENT_FROM_HEARTBEAT
}
