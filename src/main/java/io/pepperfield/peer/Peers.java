package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Reply;
import io.pepperfield.http.Sender;
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
        void forwarded(ForwardingMessages.Batch batch, Consumer<Reply> answer);

        /** Orders for a worker of this node's partition. */
        void direct(long token, ForwardingMessages.Direct message);

        /** Another node has told users that these jobs are cancelled. */
        void cancelled(List<String> ids);
    }

    /** Answers what other controllers POST to a path of a feature. */
    public interface Service {
        /** Takes a message; the answer may come later. */
        void handle(Call call, Consumer<Reply> answer);
    }

    /** How this node stands with the state service, compared with the others. */
    public enum Contact {
        FINE,
        LOST_BY_ALL,
        LOST_ALONE
    }

    private final Loop loop;
    private final Settings settings;
    private final Sender client;
    private final double reportS;
    private final Map<String, Double> contactAt = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private Handler handler;
    private double reachedAt = Double.NEGATIVE_INFINITY;
    private double askedAt = Double.NEGATIVE_INFINITY;
    private double ownContactAt = Double.NEGATIVE_INFINITY;
    private long token;

    /** Creates the exchange with the other members of the cluster. */
    public Peers(Loop loop, Settings settings, Sender client) {
        this.loop = loop;
        this.settings = settings;
        this.client = client;
        this.reportS = settings.deployment().workers().reportS();
    }

    /** Sets what receives the other nodes' messages; called once, before the first message. */
    public void handler(Handler of) {
        handler = of;
    }

    /**
     * To be called often; asks the others only while this node itself seems to have lost the state
     * service.
     */
    public void tick(double now, double ownContact, long ownToken) {
        ownContactAt = ownContact;
        token = ownToken;
        // A follow is held for half a period: contact older than that by as much again is not the
        // ordinary case.
        if (now - ownContact < 0.8 * reportS || now - askedAt < reportS / 4) {
            return;
        }
        askedAt = now;
        for (Settings.Member member : settings.members()) {
            client.send(
                    member.address().host(),
                    member.address().port(),
                    2,
                    "GET",
                    "/peer/contact",
                    null,
                    Math.round(reportS * 500),
                    outcome -> loop.post(() -> heard(member.node(), now, outcome)));
        }
    }

    private void heard(String node, double asked, Outcome outcome) {
        if (outcome instanceof Outcome.Answered answer && answer.status() == 200) {
            JsonNode ago = answer.json().path("contactAgoMs");
            if (ago.isNumber()) {
                reachedAt = Math.max(reachedAt, asked);
                contactAt.merge(node, asked - ago.doubleValue() / 1000, Math::max);
            }
        }
    }

    /**
     * Whether the state service is lost, and to whom. A node that reaches nobody at all must take
     * itself for the one that is cut off: the others may be deciding without it.
     */
    public Contact contact(double now) {
        if (now - ownContactAt < 1.5 * reportS) {
            return Contact.FINE;
        }
        if (settings.members().isEmpty()) {
            return Contact.LOST_BY_ALL;
        }
        boolean alone =
                now - reachedAt > 2 * reportS
                        || contactAt.values().stream().anyMatch(at -> at > ownContactAt + reportS);
        return alone ? Contact.LOST_ALONE : Contact.LOST_BY_ALL;
    }

    /** Hands orders for workers to the owner of their partition. */
    void direct(Settings.Member owner, long orderToken, List<ForwardingMessages.Direct> messages) {
        client.send(
                owner.address().host(),
                owner.address().port(),
                2,
                "POST",
                "/peer/orders",
                ForwardingMessages.direct(orderToken, messages),
                Math.round(reportS * 500),
                outcome -> {});
    }

    /**
     * Tells all others what users have been told here: one that is refused by the state service
     * alone can stop those tasks at once, instead of letting their machines go.
     */
    public void cancelled(List<String> ids) {
        byte[] body = ForwardingMessages.cancelled(ids);
        for (Settings.Member member : settings.members()) {
            client.send(
                    member.address().host(),
                    member.address().port(),
                    2,
                    "POST",
                    "/peer/cancelled",
                    body,
                    Math.round(reportS * 500),
                    outcome -> {});
        }
    }

    /** Adds a path for a feature's messages; where it is not served, they get 404. */
    public void serve(String path, Service service) {
        services.put(path, service);
    }

    /** Sends a feature's message to another controller; the answer arrives on the event loop. */
    public void ask(
            Settings.Member member,
            String path,
            byte[] body,
            double deadlineS,
            Consumer<Outcome> done) {
        client.send(
                member.address().host(),
                member.address().port(),
                2,
                "POST",
                path,
                body,
                Math.round(deadlineS * 1000),
                outcome -> loop.post(() -> done.accept(outcome)));
    }

    /** Takes another node's message. */
    public void handle(Call call, Consumer<Reply> answer) {
        switch (call.method() + " " + call.path()) {
            case "GET /peer/contact" -> {
                double ago = Math.min(1e9, loop.now() - ownContactAt);
                answer.accept(
                        Reply.json(
                                200,
                                Json.object()
                                        .put("contactAgoMs", Math.round(ago * 1000))
                                        .put("epoch", token)));
            }
            case "POST /peer/relay" -> {
                ForwardingMessages.Batch batch = ForwardingMessages.batch(Json.read(call.body()));
                if (batch == null) {
                    answer.accept(Reply.error(400, "not a message of this version"));
                } else {
                    handler.forwarded(batch, answer);
                }
            }
            case "POST /peer/orders" -> {
                JsonNode body = Json.read(call.body());
                ForwardingMessages.readDirect(body)
                        .forEach(
                                message -> handler.direct(body.path("epoch").longValue(), message));
                answer.accept(Reply.empty(200));
            }
            case "POST /peer/cancelled" -> {
                handler.cancelled(ForwardingMessages.readCancelled(Json.read(call.body())));
                answer.accept(Reply.empty(200));
            }
            default -> {
                Service service = call.method().equals("POST") ? services.get(call.path()) : null;
                if (service == null) {
                    answer.accept(Reply.error(404, "no such path"));
                } else {
                    service.handle(call, answer);
                }
            }
        }
    }
}
