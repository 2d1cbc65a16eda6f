package io.pepperfield.peer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fleet.Report;
import io.pepperfield.http.Json;

/**
 * One message of a partition owner to the leader, filled up to the size that its listener takes.
 */
final class ForwardedBatch {

    /**
     * The peers' listener takes four times as much as one for users; a report alone may be a
     * quarter of it.
     */
    private static final int MOST_BYTES = 128 * 1024;

    /** About what a repeated report takes. */
    private static final int REPEATED_BYTES = 64;

    private final ObjectNode body;
    private final ArrayNode beats;
    private final ArrayNode answers;
    private final ArrayNode kept;
    private int bytes;

    /**
     * @param life names the sending process
     * @param sequence numbers its messages
     */
    ForwardedBatch(String node, String life, long sequence, long token) {
        body =
                Json.object()
                        .put("node", node)
                        .put("life", life)
                        .put("seq", sequence)
                        .put("epoch", token);
        beats = body.putArray("beats");
        answers = body.putArray("heard");
        kept = body.putArray("kept");
    }

    boolean hasRoom() {
        return bytes < MOST_BYTES;
    }

    /** A report that differs from one that the leader has only in its serial and token. */
    void addRepeated(Report report, Report before) {
        beats.addArray()
                .add(report.machine())
                .add(report.tenure())
                .add(before.serial())
                .add(report.serial())
                .add(report.token());
        bytes += REPEATED_BYTES;
    }

    void addReport(byte[] raw) {
        beats.addRawValue(ForwardingMessages.raw(raw));
        bytes += raw.length;
    }

    /** A worker's answer to direct orders. */
    void addAnswer(byte[] raw) {
        answers.addRawValue(ForwardingMessages.raw(raw));
        bytes += raw.length;
    }

    /** A remembered report of that age, for a leader that begins. */
    void addRemembered(byte[] raw, double ageS) {
        kept.addObject()
                .put("ageMs", Math.round(ageS * 1000))
                .putRawValue("report", ForwardingMessages.raw(raw));
        bytes += raw.length;
    }

    byte[] write() {
        return Json.write(body);
    }
}
