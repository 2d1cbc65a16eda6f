package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What partition owners and the leader tell each other; the only place that knows its field names.
 */
public final class PeerMessages {

    /** One report as a partition owner passes it on. */
    public sealed interface ForwardedHeartbeat {
        /** The name of the machine that reports. */
        String machine();

        /** The report in full. */
        record Full(Heartbeat heartbeat) implements ForwardedHeartbeat {
            @Override
            public String machine() {
                return heartbeat.machine();
            }
        }

        /** Differs from the one of serial {@code base} only in its serial and token. */
        record Repeated(
                String machine,
                long incarnation,
                long baseSerial,
                long serial,
                FencingToken fencingToken)
                implements ForwardedHeartbeat {}
    }

    /** A report that its partition owner remembers from before the leader was elected. */
    public record CachedHeartbeat(Heartbeat heartbeat, double ageS) {}

    /** One message of a partition owner to the leader; {@code life} names the owner's process. */
    public record HeartbeatBatch(
            String sender,
            String incarnation,
            long sequence,
            FencingToken fencingToken,
            List<ForwardedHeartbeat> heartbeats,
            List<Heartbeat> directOrderReplies,
            List<CachedHeartbeat> cachedHeartbeats) {}

    /** The leader's answer to one report. */
    public sealed interface LeaderVerdict {
        /** To be answered with these orders. */
        record Orders(JsonNode orders) implements LeaderVerdict {}

        /** A late copy, or of a machine that was returned. */
        record Refused() implements LeaderVerdict {}

        /** The leader lacks the report that a short one repeats. */
        record FullHeartbeatRequired() implements LeaderVerdict {}
    }

    /** The leader's answer to a batch, with one verdict for each of its reports. */
    public record HeartbeatBatchReply(
            FencingToken fencingToken,
            double stateContactAgeS,
            Set<String> partitionOwners,
            List<LeaderVerdict> verdicts) {}

    /** Orders that a partition owner is to hand to a worker at once. */
    public record DirectOrderMessage(String address, long incarnation, JsonNode orders) {}

    private PeerMessages() {}

    /**
     * A worker's report as part of a message; one in another encoding than UTF-8 would spoil the
     * others beside it.
     */
    static RawValue embedded(byte[] report) {
        boolean plain = report.length > 1 && report[0] > 0 && report[1] > 0;
        return new RawValue(
                new String(plain ? report : Json.write(Json.read(report)), StandardCharsets.UTF_8));
    }

    /** Null where the message is not one of this version's: it is refused whole. */
    public static HeartbeatBatch readBatch(JsonNode message) {
        if (!message.path("node").isTextual()
                || !message.path("life").isTextual()
                || !message.path("seq").isIntegralNumber()
                || !message.path("epoch").isIntegralNumber()
                || !message.path("beats").isArray()) {
            return null;
        }
        List<ForwardedHeartbeat> beats = new ArrayList<>();
        for (JsonNode beat : message.path("beats")) {
            if (beat.isArray() && beat.size() == 5) {
                beats.add(
                        new ForwardedHeartbeat.Repeated(
                                beat.path(0).asText(),
                                beat.path(1).asLong(),
                                beat.path(2).asLong(),
                                beat.path(3).asLong(),
                                new FencingToken(beat.path(4).asLong())));
            } else {
                Heartbeat report = WorkerProtocol.parseHeartbeat(beat).orElse(null);
                if (report == null) {
                    return null;
                }
                beats.add(new ForwardedHeartbeat.Full(report));
            }
        }
        List<Heartbeat> heard = new ArrayList<>();
        for (JsonNode report : message.path("heard")) {
            Heartbeat read = WorkerProtocol.parseHeartbeat(report).orElse(null);
            if (read != null) {
                heard.add(read);
            }
        }
        List<CachedHeartbeat> kept = new ArrayList<>();
        for (JsonNode item : message.path("kept")) {
            Heartbeat read = WorkerProtocol.parseHeartbeat(item.path("report")).orElse(null);
            if (read != null) {
                kept.add(
                        new CachedHeartbeat(
                                read, Math.max(0, item.path("ageMs").asLong() / 1000.0)));
            }
        }
        return new HeartbeatBatch(
                message.path("node").textValue(),
                message.path("life").textValue(),
                message.path("seq").longValue(),
                new FencingToken(message.path("epoch").longValue()),
                beats,
                heard,
                kept);
    }

    /** Encodes the answer to a batch. */
    public static byte[] writeBatchReply(
            FencingToken token,
            double contactAgoS,
            Collection<String> live,
            List<LeaderVerdict> verdicts) {
        ObjectNode node =
                Json.object()
                        .put("epoch", token.value())
                        .put("contactAgoMs", Math.round(contactAgoS * 1000));
        ArrayNode names = node.putArray("live");
        live.forEach(names::add);
        ArrayNode answers = node.putArray("answers");
        for (LeaderVerdict verdict : verdicts) {
            if (verdict instanceof LeaderVerdict.Orders orders) {
                answers.add(orders.orders());
            } else {
                answers.add(
                        verdict instanceof LeaderVerdict.FullHeartbeatRequired
                                ? "whole"
                                : "refused");
            }
        }
        return Json.write(node);
    }

    /** Null where the message is not an answer to that many reports. */
    static HeartbeatBatchReply readBatchReply(JsonNode message, int beats) {
        if (!message.path("epoch").isIntegralNumber()
                || !message.path("contactAgoMs").isNumber()
                || message.path("answers").size() != beats) {
            return null;
        }
        Set<String> live = new TreeSet<>();
        message.path("live").forEach(name -> live.add(name.asText()));
        List<LeaderVerdict> verdicts = new ArrayList<>();
        for (JsonNode answer : message.path("answers")) {
            verdicts.add(
                    answer.isArray()
                            ? new LeaderVerdict.Orders(answer)
                            : answer.asText().equals("whole")
                                    ? new LeaderVerdict.FullHeartbeatRequired()
                                    : new LeaderVerdict.Refused());
        }
        return new HeartbeatBatchReply(
                new FencingToken(message.path("epoch").longValue()),
                message.path("contactAgoMs").doubleValue() / 1000,
                live,
                verdicts);
    }

    static byte[] writeCancelledJobs(List<String> ids) {
        ObjectNode node = Json.object();
        ArrayNode all = node.putArray("jobs");
        ids.forEach(all::add);
        return Json.write(node);
    }

    static List<String> readCancelledJobs(JsonNode message) {
        List<String> ids = new ArrayList<>();
        message.path("jobs").forEach(id -> ids.add(id.asText()));
        return ids;
    }

    static byte[] writeDirectOrders(FencingToken token, List<DirectOrderMessage> messages) {
        ObjectNode node = Json.object().put("epoch", token.value());
        ArrayNode all = node.putArray("messages");
        messages.forEach(
                m ->
                        all.addObject()
                                .put("addr", m.address())
                                .put("tenure", m.incarnation())
                                .set("orders", m.orders()));
        return Json.write(node);
    }

    static List<DirectOrderMessage> readDirectOrders(JsonNode message) {
        List<DirectOrderMessage> messages = new ArrayList<>();
        for (JsonNode direct : message.path("messages")) {
            messages.add(
                    new DirectOrderMessage(
                            direct.path("addr").asText(),
                            direct.path("tenure").longValue(),
                            direct.path("orders")));
        }
        return messages;
    }
}
