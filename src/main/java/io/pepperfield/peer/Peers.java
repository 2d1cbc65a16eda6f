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
 * Sends and dispatches messages between controllers: contact with the key-value store, heartbeats
 * of partitions, orders for workers, cancelled jobs. A controller that is alone in having lost the
 * store must leave the load balancer and let its workers move to other controllers; in an outage
 * that affects all controllers it must do neither. Confined to the event loop.
 */
public final class Peers {

    /** Receives the other controllers' messages. */
    public interface Handler {
        /** Handles a partition owner's heartbeats as the leader; {@code answer} is called once. */
        void heartbeatBatchReceived(PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer);

        /** Handles orders for a worker in this controller's partition. */
        void directOrdersReceived(FencingToken token, PeerMessages.DirectOrderMessage message);

        /** Handles the cancellation of jobs that another controller has confirmed to users. */
        void jobsCancelled(List<String> ids);
    }

    /** Answers POST requests of other controllers on one path. */
    public interface Endpoint {
        /** Handles a message; {@code answer} may be called later. */
        void handle(InboundRequest request, Consumer<HttpReply> answer);
    }

    /**
     * State of this controller's contact with the store: {@code OUTAGE} if the other controllers
     * have lost it too, {@code ISOLATED} if this one alone has, or cannot reach any peer.
     */
    public enum StoreContact {
        CONNECTED,
        OUTAGE,
        ISOLATED
    }

    /** Path to which a partition owner sends the heartbeats of its partition. */
    static final String HEARTBEATS_PATH = "/peer/relay";

    private static final String CONTACT_PATH = "/peer/contact";
    private static final String ORDERS_PATH = "/peer/orders";
    private static final String CANCELLED_PATH = "/peer/cancelled";

    /**
     * Heartbeat intervals without store contact after which the peers are queried. The store
     * answers a watch after half an interval at the latest; twice that time is exceptional.
     */
    private static final double PEER_QUERY_INTERVALS = 0.8;

    /** Heartbeat intervals without store contact after which the store counts as lost. */
    private static final double STORE_LOST_INTERVALS = 1.5;

    /** Heartbeat intervals without a peer's reply after which this controller is isolated. */
    private static final double NO_PEER_REPLY_INTERVALS = 2;

    /**
     * Age reported if the store has never been reached; low enough to be exact as a number in the
     * message.
     */
    private static final double MAX_STORE_CONTACT_AGE_S = 1e9;

    private final Loop loop;
    private final Settings settings;
    private final HttpSender client;
    private final double heartbeatIntervalS;
    private final Map<String, Double> peerStoreContactAt = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private Handler handler;
    private double lastPeerReplyAt = Double.NEGATIVE_INFINITY;
    private double lastPeerQueryAt = Double.NEGATIVE_INFINITY;
    private double ownStoreContactAt = Double.NEGATIVE_INFINITY;
    private FencingToken fencingToken = FencingToken.NONE;

    /** Creates the messaging with the other members of the cluster. */
    public Peers(Loop loop, Settings settings, HttpSender client) {
        this.loop = loop;
        this.settings = settings;
        this.client = client;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /** Sets the receiver of messages; called once, before the first message arrives. */
    public void setHandler(Handler receiver) {
        handler = receiver;
    }

    /**
     * Updates this controller's contact with the store, and queries the other controllers for
     * theirs while its own is overdue. Called several times per heartbeat interval.
     *
     * @param lastStoreContactAt loop time up to which this controller has all changes in the store
     */
    public void tick(double now, double lastStoreContactAt, FencingToken ownToken) {
        ownStoreContactAt = lastStoreContactAt;
        fencingToken = ownToken;
        if (now - lastStoreContactAt < PEER_QUERY_INTERVALS * heartbeatIntervalS
                || now - lastPeerQueryAt < heartbeatIntervalS / 4) {
            return;
        }
        lastPeerQueryAt = now;
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
            OptionalDouble contactAgeS = PeerMessages.readStoreContactAge(answer.json());
            if (contactAgeS.isPresent()) {
                lastPeerReplyAt = Math.max(lastPeerReplyAt, sentAt);
                peerStoreContactAt.merge(controller, sentAt - contactAgeS.getAsDouble(), Math::max);
            }
        }
    }

    /**
     * Returns whether the store is lost, and if so to all controllers or to this one only. A
     * controller that reaches no peer must treat itself as isolated, since the others may be taking
     * decisions without it.
     */
    public StoreContact storeContact(double now) {
        if (now - ownStoreContactAt < STORE_LOST_INTERVALS * heartbeatIntervalS) {
            return StoreContact.CONNECTED;
        }
        if (settings.members().isEmpty()) {
            return StoreContact.OUTAGE;
        }
        boolean isolated =
                now - lastPeerReplyAt > NO_PEER_REPLY_INTERVALS * heartbeatIntervalS
                        || peerStoreContactAt.values().stream()
                                .anyMatch(at -> at > ownStoreContactAt + heartbeatIntervalS);
        return isolated ? StoreContact.ISOLATED : StoreContact.OUTAGE;
    }

    /** Sends orders for workers to the owner of their partition. */
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
     * Notifies all other controllers of jobs whose cancellation was confirmed to users. A
     * controller that is alone in having lost the store can then stop their tasks at once, instead
     * of letting the leases of their machines expire.
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

    /** Registers the handler for POST requests on a path; unregistered paths are answered 404. */
    public void addEndpoint(String path, Endpoint endpoint) {
        endpoints.put(path, endpoint);
    }

    /** Sends a message to another controller; {@code done} is called on the event loop. */
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

    /** Handles another controller's message; {@code answer} is called once, possibly later. */
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
        double contactAgeS = Math.min(MAX_STORE_CONTACT_AGE_S, loop.now() - ownStoreContactAt);
        return HttpReply.json(200, PeerMessages.writeStoreContact(contactAgeS, fencingToken));
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
