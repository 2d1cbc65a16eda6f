package io.pepperfield.peer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.http.Json;

/**
 * Builds one message of a partition owner to the leader, within the size that the leader's listener
 * accepts.
 */
final class HeartbeatBatchBuilder {

    /**
     * Size from which nothing more is added to a message. The listener for peers accepts messages
     * four times as large as the listener for users; a single heartbeat may take up a quarter of
     * that limit.
     */
    private static final int MAX_BYTES = 128 * 1024;

    /** Approximate encoded size of a repeated heartbeat. */
    private static final int REPEATED_BYTES = 64;

    private final ObjectNode body;
    private final ArrayNode heartbeats;
    private final ArrayNode directOrderReplies;
    private final ArrayNode cachedHeartbeats;
    private int estimatedBytes;

    /**
     * @param sender the name of the sending controller
     * @param incarnation identifies the sender's process
     * @param sequence increases with each message of that process
     */
    HeartbeatBatchBuilder(String sender, String incarnation, long sequence, FencingToken token) {
        body =
                Json.object()
                        .put("node", sender)
                        .put("life", incarnation)
                        .put("seq", sequence)
                        .put("epoch", token.value());
        heartbeats = body.putArray("beats");
        directOrderReplies = body.putArray("heard");
        cachedHeartbeats = body.putArray("kept");
    }

    boolean hasRoom() {
        return estimatedBytes < MAX_BYTES;
    }

    /**
     * Adds a heartbeat in short form: one that differs only in sequence number and fencing token
     * from an earlier heartbeat that the leader has.
     */
    void addRepeated(Heartbeat heartbeat, Heartbeat earlier) {
        heartbeats
                .addArray()
                .add(heartbeat.machine())
                .add(heartbeat.incarnation())
                .add(earlier.sequence())
                .add(heartbeat.sequence())
                .add(heartbeat.fencingToken().value());
        estimatedBytes += REPEATED_BYTES;
    }

    /** Adds a heartbeat in full. */
    void addFull(byte[] encoded) {
        heartbeats.addRawValue(PeerMessages.embedded(encoded));
        estimatedBytes += encoded.length;
    }

    /** Adds a worker's reply to direct orders. */
    void addDirectOrderReply(byte[] encoded) {
        directOrderReplies.addRawValue(PeerMessages.embedded(encoded));
        estimatedBytes += encoded.length;
    }

    /** Adds a cached heartbeat with its age, for a newly elected leader. */
    void addCached(byte[] encoded, double ageS) {
        cachedHeartbeats
                .addObject()
                .put("ageMs", Math.round(ageS * 1000))
                .putRawValue("report", PeerMessages.embedded(encoded));
        estimatedBytes += encoded.length;
    }

    byte[] encode() {
        return Json.write(body);
    }
}
