package io.pepperfield.peer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.http.Json;

/**
 * One message of a partition owner to the leader, filled up to the size that its listener takes.
 */
final class HeartbeatBatchBuilder {

    /**
     * The peers' listener takes four times as much as the users' one; a heartbeat alone may be a
     * quarter of that.
     */
    private static final int MAX_BYTES = 128 * 1024;

    /** About what a repeated heartbeat takes. */
    private static final int REPEATED_BYTES = 64;

    private final ObjectNode body;
    private final ArrayNode heartbeats;
    private final ArrayNode directOrderReplies;
    private final ArrayNode cachedHeartbeats;
    private int bytes;

    /**
     * @param sender the name of the sending controller
     * @param incarnation identifies its process
     * @param sequence numbers the messages of that process
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
        return bytes < MAX_BYTES;
    }

    /**
     * Adds one that differs from an earlier one, which the leader has, only in sequence and token.
     */
    void addRepeated(Heartbeat heartbeat, Heartbeat earlier) {
        heartbeats
                .addArray()
                .add(heartbeat.machine())
                .add(heartbeat.incarnation())
                .add(earlier.sequence())
                .add(heartbeat.sequence())
                .add(heartbeat.fencingToken().value());
        bytes += REPEATED_BYTES;
    }

    void addFull(byte[] encoded) {
        heartbeats.addRawValue(PeerMessages.embedded(encoded));
        bytes += encoded.length;
    }

    /** Adds a worker's reply to direct orders. */
    void addDirectOrderReply(byte[] encoded) {
        directOrderReplies.addRawValue(PeerMessages.embedded(encoded));
        bytes += encoded.length;
    }

    /** Adds a cached heartbeat of that age, for a leader that was just elected. */
    void addCached(byte[] encoded, double ageS) {
        cachedHeartbeats
                .addObject()
                .put("ageMs", Math.round(ageS * 1000))
                .putRawValue("report", PeerMessages.embedded(encoded));
        bytes += encoded.length;
    }

    byte[] encode() {
        return Json.write(body);
    }
}
