package io.pepperfield.fleet;

/**
 * The newest heartbeat of one machine that has been taken in some way, by incarnation and sequence.
 * Changed in place, since there is one update for each heartbeat.
 */
final class HeartbeatPosition {

    private long incarnation;
    private long sequence = -1;

    long incarnation() {
        return incarnation;
    }

    /** Whether this or a newer heartbeat has been taken. */
    boolean covers(Heartbeat heartbeat) {
        return heartbeat.incarnation() < incarnation
                || heartbeat.incarnation() == incarnation && heartbeat.sequence() <= sequence;
    }

    void advanceTo(Heartbeat heartbeat) {
        incarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
    }
}
