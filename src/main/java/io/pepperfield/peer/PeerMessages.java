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
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;

/**
 * Codec for the messages between partition owners and the leader. Their field names are used in
 * this package only.
 */
public final class PeerMessages {

    /** A heartbeat in the form in which a partition owner forwards it. */
    public sealed interface ForwardedHeartbeat {
        /** The name of the machine that sent it. */
        String machine();

        /** A heartbeat forwarded in full. */
        record Full(Heartbeat heartbeat) implements ForwardedHeartbeat {
            @Override
            public String machine() {
                return heartbeat.machine();
            }
        }

        /**
         * A heartbeat in short form. It differs from the earlier one with sequence number {@code
         * baseSequence} only in sequence number and fencing token.
         */
        record Repeated(
                String machine,
                long incarnation,
                long baseSequence,
                long sequence,
                FencingToken fencingToken)
                implements ForwardedHeartbeat {}
    }

    /** A heartbeat that the partition owner answered before the current leader was elected. */
    public record CachedHeartbeat(Heartbeat heartbeat, double ageS) {}

    /**
     * One message of a partition owner to the leader.
     *
     * @param sender the name of the owner
     * @param incarnation identifies the owner's process
     * @param sequence increases with each message of that process
     */
    public record HeartbeatBatch(
            String sender,
            String incarnation,
            long sequence,
            FencingToken fencingToken,
            List<ForwardedHeartbeat> heartbeats,
            List<Heartbeat> directOrderReplies,
            List<CachedHeartbeat> cachedHeartbeats) {}

    /** The leader's verdict on one heartbeat. */
    public sealed interface LeaderVerdict {
        /** The heartbeat is a late duplicate, or its machine has been released. */
        LeaderVerdict REFUSED = new Refused();

        /** The leader does not have the earlier heartbeat that a short form refers to. */
        LeaderVerdict FULL_HEARTBEAT_REQUIRED = new FullHeartbeatRequired();

        /** No leader answered. */
        LeaderVerdict UNREACHABLE = new Unreachable();

        /** The heartbeat is accepted; the worker is sent these orders. */
        record Orders(JsonNode orders) implements LeaderVerdict {}

        /** See {@link #REFUSED}. */
        record Refused() implements LeaderVerdict {}

        /** See {@link #FULL_HEARTBEAT_REQUIRED}. */
        record FullHeartbeatRequired() implements LeaderVerdict {}

        /** See {@link #UNREACHABLE}; created by the partition owner, never part of a message. */
        record Unreachable() implements LeaderVerdict {}
    }

    /**
     * The leader's reply to a batch, with one verdict for each of its heartbeats.
     *
     * @param storeContactAgeS seconds since the leader was last known to have all changes in the
     *     store
     */
    public record HeartbeatBatchReply(
            FencingToken fencingToken,
            double storeContactAgeS,
            Set<String> partitionOwners,
            List<LeaderVerdict> verdicts) {}

    /**
     * Orders that a partition owner sends to a worker at once, not in answer to the worker's next
     * heartbeat.
     */
    public record DirectOrderMessage(String address, long incarnation, JsonNode orders) {}

    /**
     * A repeated heartbeat is an array of machine, incarnation, base sequence, sequence and token.
     */
    private static final int REPEATED_FIELDS = 5;

    private static final String FULL_HEARTBEAT_REQUIRED_CODE = "whole";

    private PeerMessages() {}

    /**
     * Returns a worker's heartbeat as a raw JSON value, re-encoded as UTF-8 if it is in another
     * encoding, which would make the whole message unreadable.
     */
    static RawValue embedded(byte[] heartbeat) {
        boolean utf8 = heartbeat.length > 1 && heartbeat[0] > 0 && heartbeat[1] > 0;
        return new RawValue(
                new String(
                        utf8 ? heartbeat : Json.write(Json.read(heartbeat)),
                        StandardCharsets.UTF_8));
    }

    /**
     * Decodes a batch; empty if it is malformed or of an incompatible version. One malformed
     * heartbeat makes the whole batch invalid.
     */
    public static Optional<HeartbeatBatch> readBatch(JsonNode message) {
        if (!message.path("node").isTextual()
                || !message.path("life").isTextual()
                || !message.path("seq").isIntegralNumber()
                || !message.path("epoch").isIntegralNumber()
                || !message.path("beats").isArray()) {
            return Optional.empty();
        }
        List<ForwardedHeartbeat> heartbeats = new ArrayList<>();
        for (JsonNode item : message.path("beats")) {
            if (item.isArray() && item.size() == REPEATED_FIELDS) {
                heartbeats.add(
                        new ForwardedHeartbeat.Repeated(
                                item.path(0).asText(),
                                item.path(1).asLong(),
                                item.path(2).asLong(),
                                item.path(3).asLong(),
                                new FencingToken(item.path(4).asLong())));
            } else {
                Optional<Heartbeat> heartbeat = WorkerProtocol.parseHeartbeat(item);
                if (heartbeat.isEmpty()) {
                    return Optional.empty();
                }
                heartbeats.add(new ForwardedHeartbeat.Full(heartbeat.get()));
            }
        }
        return Optional.of(
                new HeartbeatBatch(
                        message.path("node").textValue(),
                        message.path("life").textValue(),
                        message.path("seq").longValue(),
                        readToken(message),
                        heartbeats,
                        readDirectOrderReplies(message),
                        readCachedHeartbeats(message)));
    }

    private static List<Heartbeat> readDirectOrderReplies(JsonNode message) {
        List<Heartbeat> replies = new ArrayList<>();
        for (JsonNode item : message.path("heard")) {
            WorkerProtocol.parseHeartbeat(item).ifPresent(replies::add);
        }
        return replies;
    }

    private static List<CachedHeartbeat> readCachedHeartbeats(JsonNode message) {
        List<CachedHeartbeat> cached = new ArrayList<>();
        for (JsonNode item : message.path("kept")) {
            double ageS = Math.max(0, item.path("ageMs").asLong() / 1000.0);
            WorkerProtocol.parseHeartbeat(item.path("report"))
                    .ifPresent(heartbeat -> cached.add(new CachedHeartbeat(heartbeat, ageS)));
        }
        return cached;
    }

    /** Encodes the reply to a batch. */
    public static byte[] writeBatchReply(
            FencingToken token,
            double storeContactAgeS,
            Collection<String> partitionOwners,
            List<LeaderVerdict> verdicts) {
        ObjectNode node =
                Json.object()
                        .put("epoch", token.value())
                        .put("contactAgoMs", Math.round(storeContactAgeS * 1000));
        ArrayNode names = node.putArray("live");
        partitionOwners.forEach(names::add);
        ArrayNode answers = node.putArray("answers");
        for (LeaderVerdict verdict : verdicts) {
            if (verdict instanceof LeaderVerdict.Orders orders) {
                answers.add(orders.orders());
            } else {
                answers.add(
                        verdict instanceof LeaderVerdict.FullHeartbeatRequired
                                ? FULL_HEARTBEAT_REQUIRED_CODE
                                : "refused");
            }
        }
        return Json.write(node);
    }

    /** Decodes the reply to a batch; empty if it is no reply to that number of heartbeats. */
    static Optional<HeartbeatBatchReply> readBatchReply(JsonNode message, int heartbeats) {
        if (!message.path("epoch").isIntegralNumber()
                || !message.path("contactAgoMs").isNumber()
                || message.path("answers").size() != heartbeats) {
            return Optional.empty();
        }
        Set<String> partitionOwners = new TreeSet<>();
        message.path("live").forEach(name -> partitionOwners.add(name.asText()));
        List<LeaderVerdict> verdicts = new ArrayList<>();
        for (JsonNode answer : message.path("answers")) {
            verdicts.add(readVerdict(answer));
        }
        return Optional.of(
                new HeartbeatBatchReply(
                        readToken(message),
                        message.path("contactAgoMs").doubleValue() / 1000,
                        partitionOwners,
                        verdicts));
    }

    private static LeaderVerdict readVerdict(JsonNode verdict) {
        if (verdict.isArray()) {
            return new LeaderVerdict.Orders(verdict);
        }
        return verdict.asText().equals(FULL_HEARTBEAT_REQUIRED_CODE)
                ? LeaderVerdict.FULL_HEARTBEAT_REQUIRED
                : LeaderVerdict.REFUSED;
    }

    /**
     * Encodes the seconds since this controller was last known to have all changes in the store,
     * and its fencing token.
     */
    static ObjectNode writeStoreContact(double storeContactAgeS, FencingToken token) {
        return Json.object()
                .put("contactAgoMs", Math.round(storeContactAgeS * 1000))
                .put("epoch", token.value());
    }

    /**
     * Decodes the seconds since another controller was last known to have all changes in the store;
     * empty if the message does not state them.
     */
    static OptionalDouble readStoreContactAge(JsonNode message) {
        JsonNode storeContactAgeMs = message.path("contactAgoMs");
        return storeContactAgeMs.isNumber()
                ? OptionalDouble.of(storeContactAgeMs.doubleValue() / 1000)
                : OptionalDouble.empty();
    }

    /** Decodes the fencing token under which the message was sent. */
    static FencingToken readToken(JsonNode message) {
        return new FencingToken(message.path("epoch").longValue());
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
                message ->
                        all.addObject()
                                .put("addr", message.address())
                                .put("tenure", message.incarnation())
                                .set("orders", message.orders()));
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
