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
import java.util.function.Consumer;

/**
 * What controllers tell each other: whether they are in touch with the state service, the reports
 * of their partitions, and orders for them. A node that alone has lost the state service must leave
 * the load balancer and let go of its workers; in an outage that all of them see, it must not.
 */
public final class Peers {

    /** What this node does with the others' messages. */
    public interface Handler {
        /** A partition owner's reports, for the leader. */
        void heartbeatBatchReceived(PeerMessages.HeartbeatBatch batch, Consumer<HttpReply> answer);

        /** Orders for a worker of this node's partition. */
        void directOrdersReceived(FencingToken token, PeerMessages.DirectOrderMessage message);

        /** Another node has told users that these jobs are cancelled. */
        void jobsCancelled(List<String> ids);
    }

    /** Answers what other controllers POST to a path of a feature. */
    public interface Endpoint {
        /** Takes a message; the answer may come later. */
        void handle(InboundRequest call, Consumer<HttpReply> answer);
    }

    /** How this node stands with the state service, compared with the others. */
    public enum StateContact {
        CONNECTED,
        OUTAGE,
        ISOLATED
    }

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

    /** Sets what receives the other nodes' messages; called once, before the first message. */
    public void handler(Handler of) {
        handler = of;
    }

    /**
     * To be called often; asks the others only while this node itself seems to have lost the state
     * service.
     */
    public void tick(double now, double ownContact, FencingToken ownToken) {
        ownConfirmedAt = ownContact;
        fencingToken = ownToken;
        // A follow is held for half a period: contact older than that by as much again is not the
        // ordinary case.
        if (now - ownContact < 0.8 * heartbeatIntervalS
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
                            "/peer/contact",
                            null,
                            Math.round(heartbeatIntervalS * 500)),
                    outcome -> loop.post(() -> contactReceived(member.node(), now, outcome)));
        }
    }

    private void contactReceived(String node, double asked, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answer && answer.status() == 200) {
            JsonNode ago = answer.json().path("contactAgoMs");
            if (ago.isNumber()) {
                peerReachedAt = Math.max(peerReachedAt, asked);
                peerConfirmedAt.merge(node, asked - ago.doubleValue() / 1000, Math::max);
            }
        }
    }

    /**
     * Whether the state service is lost, and to whom. A node that reaches nobody at all must take
     * itself for the one that is cut off: the others may be deciding without it.
     */
    public StateContact stateContact(double now) {
        if (now - ownConfirmedAt < 1.5 * heartbeatIntervalS) {
            return StateContact.CONNECTED;
        }
        if (settings.members().isEmpty()) {
            return StateContact.OUTAGE;
        }
        boolean alone =
                now - peerReachedAt > 2 * heartbeatIntervalS
                        || peerConfirmedAt.values().stream()
                                .anyMatch(at -> at > ownConfirmedAt + heartbeatIntervalS);
        return alone ? StateContact.ISOLATED : StateContact.OUTAGE;
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
                        "/peer/orders",
                        PeerMessages.writeDirectOrders(orderToken, messages),
                        Math.round(heartbeatIntervalS * 500)),
                outcome -> {});
    }

    /**
     * Tells all others what users have been told here: one that is refused by the state service
     * alone can stop those tasks at once, instead of letting their machines go.
     */
    public void announceCancelled(List<String> ids) {
        byte[] body = PeerMessages.writeCancelledJobs(ids);
        for (Settings.Member member : settings.members()) {
            client.send(
                    new OutboundRequest(
                            member.address().host(),
                            member.address().port(),
                            2,
                            "POST",
                            "/peer/cancelled",
                            body,
                            Math.round(heartbeatIntervalS * 500)),
                    outcome -> {});
        }
    }

    /** Adds a path for a feature's messages; where it is not served, they get 404. */
    public void addEndpoint(String path, Endpoint service) {
        endpoints.put(path, service);
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

    /** Takes another node's message. */
    public void handle(InboundRequest call, Consumer<HttpReply> answer) {
        switch (call.method() + " " + call.path()) {
            case "GET /peer/contact" -> {
                double ago = Math.min(1e9, loop.now() - ownConfirmedAt);
                answer.accept(
                        HttpReply.json(
                                200,
                                Json.object()
                                        .put("contactAgoMs", Math.round(ago * 1000))
                                        .put("epoch", fencingToken.value())));
            }
            case "POST /peer/relay" -> {
                PeerMessages.HeartbeatBatch batch = PeerMessages.readBatch(Json.read(call.body()));
                if (batch == null) {
                    answer.accept(HttpReply.error(400, "not a message of this version"));
                } else {
                    handler.heartbeatBatchReceived(batch, answer);
                }
            }
            case "POST /peer/orders" -> {
                JsonNode body = Json.read(call.body());
                PeerMessages.readDirectOrders(body)
                        .forEach(
                                message ->
                                        handler.directOrdersReceived(
                                                new FencingToken(body.path("epoch").longValue()),
                                                message));
                answer.accept(HttpReply.empty(200));
            }
            case "POST /peer/cancelled" -> {
                handler.jobsCancelled(PeerMessages.readCancelledJobs(Json.read(call.body())));
                answer.accept(HttpReply.empty(200));
            }
            default -> {
                Endpoint service = call.method().equals("POST") ? endpoints.get(call.path()) : null;
                if (service == null) {
                    answer.accept(HttpReply.error(404, "no such path"));
                } else {
                    service.handle(call, answer);
                }
            }
        }
    }
}
