package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.List;

/**
 * A heartbeat from a worker's agent with the status of all attempts that the agent holds.
 * Heartbeats of a machine are ordered by incarnation, then by sequence.
 *
 * @param incarnation number of the agent's incarnation, incremented at each restart
 * @param sequence number of the heartbeat within the incarnation
 * @param fencingToken the newest fencing token that the agent has seen
 * @param reclaimNoticeS seconds until the cloud reclaims the machine; null if no notice was given
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        FencingToken fencingToken,
        Double reclaimNoticeS,
        List<AttemptStatus> attempts) {

    /** The state of an attempt on its worker. */
    public enum State {
        PULLING,
        RUNNING,
        SAVING,
        ENDED
    }

    /** Why an attempt ended; {@code NONE} if it has not ended. */
    public enum Cause {
        NONE,
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        NO_SUCH,
        OTHER
    }

    /** The status of one attempt as reported by a heartbeat. */
    public record AttemptStatus(TaskRef taskRef, int attemptNumber, State state, Cause cause) {}

    /** Returns a copy of this heartbeat with another sequence and fencing token. */
    Heartbeat withSequenceAndToken(long newSequence, FencingToken newToken) {
        return new Heartbeat(
                machine,
                address,
                type,
                zone,
                spot,
                incarnation,
                newSequence,
                newToken,
                reclaimNoticeS,
                attempts);
    }
}
