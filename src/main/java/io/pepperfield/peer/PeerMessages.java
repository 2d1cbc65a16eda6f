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
 * The messages between partition owners and the leader; the only place that knows their field
 * names.
 */
public final class PeerMessages {

    /** One heartbeat as a partition owner forwards it. */
    public sealed interface ForwardedHeartbeat {
        /** The name of the machine that sent it. */
        String machine();

        /** The heartbeat in full. */
        record Full(Heartbeat heartbeat) implements ForwardedHeartbeat {
            @Override
            public String machine() {
                return heartbeat.machine();
            }
        }

        /** Differs from an earlier one, of {@code baseSequence}, only in its sequence and token. */
        record Repeated(
                String machine,
                long incarnation,
                long baseSequence,
                long sequence,
                FencingToken fencingToken)
                implements ForwardedHeartbeat {}
    }

    /** A heartbeat that its partition owner answered before the leader was elected. */
    public record CachedHeartbeat(Heartbeat heartbeat, double ageS) {}

    /**
     * One message of a partition owner to the leader.
     *
     * @param sender the name of the owner
     * @param incarnation identifies the owner's process
     * @param sequence numbers the messages of that process
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
        /** The verdict on a late copy, or on a machine that was returned. */
        LeaderVerdict REFUSED = new Refused();

        /** The verdict on a repeated heartbeat of which the leader lacks the earlier one. */
        LeaderVerdict FULL_HEARTBEAT_REQUIRED = new FullHeartbeatRequired();

        /** The outcome where no leader answered. */
        LeaderVerdict UNREACHABLE = new Unreachable();

        /** To be answered with these orders. */
        record Orders(JsonNode orders) implements LeaderVerdict {}

        /** A late copy, or of a machine that was returned. */
        record Refused() implements LeaderVerdict {}

        /** The leader lacks the heartbeat that a short one repeats. */
        record FullHeartbeatRequired() implements LeaderVerdict {}

        /** No leader answered; known to the sender only and never part of a message. */
        record Unreachable() implements LeaderVerdict {}
    }

    /**
     * The leader's reply to a batch, with one verdict for each of its heartbeats.
     *
     * @param storeContactAgeS seconds since the leader last knew all changes in the store
     */
    public record HeartbeatBatchReply(
            FencingToken fencingToken,
            double storeContactAgeS,
            Set<String> partitionOwners,
            List<LeaderVerdict> verdicts) {}

    /** Orders that a partition owner is to hand to a worker at once. */
    public record DirectOrderMessage(String address, long incarnation, JsonNode orders) {}

    /** A repeated heartbeat is an array of machine, incarnation, base, sequence and token. */
    private static final int REPEATED_FIELDS = 5;

    private static final String FULL_HEARTBEAT_WORD = "whole";

    private PeerMessages() {}

    /**
     * A worker's heartbeat as part of a message; one in another encoding than UTF-8 would spoil the
     * others beside it.
     */
    static RawValue embedded(byte[] heartbeat) {
        boolean utf8 = heartbeat.length > 1 && heartbeat[0] > 0 && heartbeat[1] > 0;
        return new RawValue(
                new String(
                        utf8 ? heartbeat : Json.write(Json.read(heartbeat)),
                        StandardCharsets.UTF_8));
    }

    /** Empty where the message is not one of this version's: it is refused whole. */
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
                                ? FULL_HEARTBEAT_WORD
                                : "refused");
            }
        }
        return Json.write(node);
    }

    /** Empty where the message is not a reply to that many heartbeats. */
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
        return verdict.asText().equals(FULL_HEARTBEAT_WORD)
                ? LeaderVerdict.FULL_HEARTBEAT_REQUIRED
                : LeaderVerdict.REFUSED;
    }

    /** Encodes how long ago this controller knew all changes in the store, and its token. */
    static ObjectNode writeStoreContact(double contactAgoS, FencingToken token) {
        return Json.object()
                .put("contactAgoMs", Math.round(contactAgoS * 1000))
                .put("epoch", token.value());
    }

    /** Seconds since another controller knew all changes; empty where it does not say so. */
    static OptionalDouble readStoreContactAge(JsonNode message) {
        JsonNode contactAgoMs = message.path("contactAgoMs");
        return contactAgoMs.isNumber()
                ? OptionalDouble.of(contactAgoMs.doubleValue() / 1000)
                : OptionalDouble.empty();
    }

    /** The fencing token that the message was sent under. */
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
