package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * The exchange between controllers: whether they reach the key-value store, the heartbeats of their
 * partitions, and orders for them. A controller that alone has lost the store must leave the load
 * balancer and let go of its workers; in an outage that all of them see, it must not. Confined to
 * the event loop.
 */
public final class Peers {

    /** Receives the other controllers' messages. */
    public interface Handler {
        /** A partition owner's heartbeats, for the leader; {@code answer} is called once. */
        void heartbeatBatchReceived(PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer);

        /** Orders for a worker of this controller's partition. */
        void directOrdersReceived(FencingToken token, PeerMessages.DirectOrderMessage message);

        /** Another controller has told users that these jobs are cancelled. */
        void jobsCancelled(List<String> ids);
    }

    /** Answers what other controllers POST to a path of a feature. */
    public interface Endpoint {
        /** Takes a message; the answer may come later. */
        void handle(InboundRequest request, Consumer<HttpReply> answer);
    }

    /** Whether this controller reaches the store, compared with the others. */
    public enum StoreContact {
        CONNECTED,
        OUTAGE,
        ISOLATED
    }

    /** Where a partition owner sends the heartbeats of its partition. */
    static final String HEARTBEATS_PATH = "/peer/relay";

    private static final String CONTACT_PATH = "/peer/contact";
    private static final String ORDERS_PATH = "/peer/orders";
    private static final String CANCELLED_PATH = "/peer/cancelled";

    /**
     * In heartbeat intervals: how old the last contact with the store may be before the others are
     * asked. A watch is held for half an interval, and as much again is not the ordinary case.
     */
    private static final double DOUBT_INTERVALS = 0.8;

    /** In heartbeat intervals: after so long without contact the store counts as lost. */
    private static final double LOST_INTERVALS = 1.5;

    /** In heartbeat intervals: after so long without any peer's answer this one is isolated. */
    private static final double UNREACHED_INTERVALS = 2;

    /** Reported where the store has never been reached, so that the number stays exact. */
    private static final double MAX_CONTACT_AGO_S = 1e9;

    private final Loop loop;
    private final Settings settings;
    private final HttpSender client;
    private final double heartbeatIntervalS;
    private final Map<String, Double> peerConfirmedAt = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private Handler handler;
    private double peerReachedAt = Double.NEGATIVE_INFINITY;
    private double queriedAt = Double.NEGATIVE_INFINITY;
    private double ownConfirmedAt = Double.NEGATIVE_INFINITY;
    private FencingToken fencingToken = FencingToken.NONE;

    /** Creates the exchange with the other members of the cluster. */
    public Peers(Loop loop, Settings settings, HttpSender client) {
        this.loop = loop;
        this.settings = settings;
        this.client = client;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /** Sets what receives the messages; called once, before the first of them. */
    public void setHandler(Handler receiver) {
        handler = receiver;
    }

    /**
     * To be called often; asks the others only while this controller itself seems to have lost the
     * store.
     *
     * @param ownLastConfirmedAt loop time up to which this controller knows all changes
     */
    public void tick(double now, double ownLastConfirmedAt, FencingToken ownToken) {
        ownConfirmedAt = ownLastConfirmedAt;
        fencingToken = ownToken;
        if (now - ownLastConfirmedAt < DOUBT_INTERVALS * heartbeatIntervalS
                || now - queriedAt < heartbeatIntervalS / 4) {
            return;
        }
        queriedAt = now;
        for (Settings.Member member : settings.members()) {
            client.send(
                    new OutboundRequest(
                            member.address().host(),
                            member.address().port(),
                            2,
                            "GET",
                            CONTACT_PATH,
                            null,
                            Math.round(heartbeatIntervalS * 500)),
                    outcome -> loop.post(() -> contactReceived(member.node(), now, outcome)));
        }
    }

    private void contactReceived(String controller, double sentAt, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answer && answer.status() == 200) {
            OptionalDouble contactAgoS = PeerMessages.readStoreContactAge(answer.json());
            if (contactAgoS.isPresent()) {
                peerReachedAt = Math.max(peerReachedAt, sentAt);
                peerConfirmedAt.merge(controller, sentAt - contactAgoS.getAsDouble(), Math::max);
            }
        }
    }

    /**
     * Whether the store is lost, and to whom. A controller that reaches nobody at all must take
     * itself for the one that is isolated: the others may be deciding without it.
     */
    public StoreContact storeContact(double now) {
        if (now - ownConfirmedAt < LOST_INTERVALS * heartbeatIntervalS) {
            return StoreContact.CONNECTED;
        }
        if (settings.members().isEmpty()) {
            return StoreContact.OUTAGE;
        }
        boolean isolated =
                now - peerReachedAt > UNREACHED_INTERVALS * heartbeatIntervalS
                        || peerConfirmedAt.values().stream()
                                .anyMatch(at -> at > ownConfirmedAt + heartbeatIntervalS);
        return isolated ? StoreContact.ISOLATED : StoreContact.OUTAGE;
    }

    /** Hands orders for workers to the owner of their partition. */
    void sendDirectOrders(
            Settings.Member owner,
            FencingToken orderToken,
            List<PeerMessages.DirectOrderMessage> messages) {
        client.send(
                new OutboundRequest(
                        owner.address().host(),
                        owner.address().port(),
                        2,
                        "POST",
                        ORDERS_PATH,
                        PeerMessages.writeDirectOrders(orderToken, messages),
                        Math.round(heartbeatIntervalS * 500)),
                outcome -> {});
    }

    /**
     * Tells all others which jobs users have been told are cancelled: a controller that has lost
     * the store alone can stop those tasks at once, instead of letting their machines go.
     */
    public void broadcastCancelledJobs(List<String> ids) {
        byte[] body = PeerMessages.writeCancelledJobs(ids);
        for (Settings.Member member : settings.members()) {
            client.send(
                    new OutboundRequest(
                            member.address().host(),
                            member.address().port(),
                            2,
                            "POST",
                            CANCELLED_PATH,
                            body,
                            Math.round(heartbeatIntervalS * 500)),
                    outcome -> {});
        }
    }

    /** Adds a path for a feature's messages; where it is not served, they get 404. */
    public void addEndpoint(String path, Endpoint endpoint) {
        endpoints.put(path, endpoint);
    }

    /** Sends a feature's message to another controller; the answer arrives on the event loop. */
    public void send(
            Settings.Member member,
            String path,
            byte[] body,
            double deadlineS,
            Consumer<HttpOutcome> done) {
        client.send(
                new OutboundRequest(
                        member.address().host(),
                        member.address().port(),
                        2,
                        "POST",
                        path,
                        body,
                        Math.round(deadlineS * 1000)),
                outcome -> loop.post(() -> done.accept(outcome)));
    }

    /** Takes another controller's message; {@code answer} is called once, perhaps later. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        switch (request.method() + " " + request.path()) {
            case "GET " + CONTACT_PATH -> answer.accept(describeContact());
            case "POST " + HEARTBEATS_PATH -> handleHeartbeats(request, answer);
            case "POST " + ORDERS_PATH -> {
                handleDirectOrders(Json.read(request.body()));
                answer.accept(HttpReply.empty(200));
            }
            case "POST " + CANCELLED_PATH -> {
                handler.jobsCancelled(PeerMessages.readCancelledJobs(Json.read(request.body())));
                answer.accept(HttpReply.empty(200));
            }
            default -> handleAtEndpoint(request, answer);
        }
    }

    private HttpReply describeContact() {
        double contactAgoS = Math.min(MAX_CONTACT_AGO_S, loop.now() - ownConfirmedAt);
        return HttpReply.json(200, PeerMessages.writeStoreContact(contactAgoS, fencingToken));
    }

    private void handleHeartbeats(InboundRequest request, Consumer<HttpReply> answer) {
        Optional<PeerMessages.HeartbeatBatch> batch =
                PeerMessages.readBatch(Json.read(request.body()));
        if (batch.isEmpty()) {
            answer.accept(HttpReply.error(400, "not a message of this version"));
        } else {
            handler.heartbeatBatchReceived(batch.get(), answer);
        }
    }

    private void handleDirectOrders(JsonNode body) {
        FencingToken orderToken = PeerMessages.readToken(body);
        for (PeerMessages.DirectOrderMessage message : PeerMessages.readDirectOrders(body)) {
            handler.directOrdersReceived(orderToken, message);
        }
    }

    private void handleAtEndpoint(InboundRequest request, Consumer<HttpReply> answer) {
        Endpoint endpoint = request.method().equals("POST") ? endpoints.get(request.path()) : null;
        if (endpoint == null) {
            answer.accept(HttpReply.error(404, "no such path"));
        } else {
            endpoint.handle(request, answer);
        }
    }
}
