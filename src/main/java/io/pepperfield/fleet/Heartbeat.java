package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import java.util.List;

/**
 * A heartbeat of a worker's agent with the status of all attempts that it holds. Heartbeats of one
 * machine are ordered by incarnation and, within it, by sequence.
 *
 * @param incarnation number of the agent's incarnation, counted up at each restart
 * @param sequence number of the heartbeat within the incarnation
 * @param fencingToken the newest token that the agent has seen
 * @param reclaimNoticeS seconds until the cloud reclaims the machine; null without a notice
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

    /** Why an attempt has ended; {@code NONE} while it has not. */
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

    /** What a heartbeat says about one attempt. */
    public record AttemptStatus(TaskRef taskRef, int attemptNumber, State state, Cause cause) {}

    /** The heartbeat that differs from this one only in its sequence and token. */
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
