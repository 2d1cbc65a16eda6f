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
     * The peers' listener takes four times as much as one for users; a report alone may be a
     * quarter of it.
     */
    private static final int MAX_BYTES = 128 * 1024;

    /** About what a repeated report takes. */
    private static final int REPEATED_BYTES = 64;

    private final ObjectNode body;
    private final ArrayNode heartbeats;
    private final ArrayNode directOrderReplies;
    private final ArrayNode cachedHeartbeats;
    private int bytes;

    /**
     * @param life names the sending process
     * @param sequence numbers its messages
     */
    HeartbeatBatchBuilder(String node, String life, long sequence, FencingToken token) {
        body =
                Json.object()
                        .put("node", node)
                        .put("life", life)
                        .put("seq", sequence)
                        .put("epoch", token.value());
        heartbeats = body.putArray("beats");
        directOrderReplies = body.putArray("heard");
        cachedHeartbeats = body.putArray("kept");
    }

    boolean hasRoom() {
        return bytes < MAX_BYTES;
    }

    /** A report that differs from one that the leader has only in its serial and token. */
    void addRepeated(Heartbeat report, Heartbeat before) {
        heartbeats
                .addArray()
                .add(report.machine())
                .add(report.incarnation())
                .add(before.sequence())
                .add(report.sequence())
                .add(report.fencingToken().value());
        bytes += REPEATED_BYTES;
    }

    void addFull(byte[] raw) {
        heartbeats.addRawValue(PeerMessages.embedded(raw));
        bytes += raw.length;
    }

    /** A worker's answer to direct orders. */
    void addDirectOrderReply(byte[] raw) {
        directOrderReplies.addRawValue(PeerMessages.embedded(raw));
        bytes += raw.length;
    }

    /** A remembered report of that age, for a leader that begins. */
    void addCached(byte[] raw, double ageS) {
        cachedHeartbeats
                .addObject()
                .put("ageMs", Math.round(ageS * 1000))
                .putRawValue("report", PeerMessages.embedded(raw));
        bytes += raw.length;
    }

    byte[] write() {
        return Json.write(body);
    }
}
