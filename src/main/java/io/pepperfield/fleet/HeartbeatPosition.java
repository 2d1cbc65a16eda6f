package io.pepperfield.fleet;

/**
 * The incarnation and sequence of the newest heartbeat of one machine that was received or applied.
 * Mutable to avoid an allocation per heartbeat.
 */
final class HeartbeatPosition {

    private long incarnation;
    private long sequence = -1;

    long incarnation() {
        return incarnation;
    }

    /** Whether the position is at or after the given heartbeat. */
    boolean covers(Heartbeat heartbeat) {
        return heartbeat.incarnation() < incarnation
                || heartbeat.incarnation() == incarnation && heartbeat.sequence() <= sequence;
    }

    void advanceTo(Heartbeat heartbeat) {
        incarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
    }
}
