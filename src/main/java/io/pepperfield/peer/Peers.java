package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Reply;
import io.pepperfield.http.Sender;
import io.pepperfield.node.Loop;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What controllers tell each other: whether they are in touch with the state service. A node that alone is not must leave
 * the load balancer; in an outage that all of them see, it must not.
 */
public final class Peers {

    private final Loop loop;
    private final Settings settings;
    private final Sender client;
    private final double reportS;
    private final Map<String, Double> contactAt = new HashMap<>();
    private double askedAt = Double.NEGATIVE_INFINITY;
    private double ownContactAt = Double.NEGATIVE_INFINITY;
    private long token;

    public Peers(Loop loop, Settings settings, Sender client) {
        this.loop = loop;
        this.settings = settings;
        this.client = client;
        this.reportS = settings.deployment().workers().reportS();
    }

    /** To be called often; asks the others only while this node itself has lost the state service. */
    public void tick(double now, double ownContact, long ownToken) {
        ownContactAt = ownContact;
        token = ownToken;
        if (now - ownContact < reportS || now - askedAt < reportS / 2) {
            return;
        }
        askedAt = now;
        for (Settings.Member member : settings.members()) {
            client.send(member.address().host(), member.address().port(), 1, "GET", "/peer/contact", null,
                    Math.round(reportS * 500), outcome -> loop.post(() -> heard(member.node(), now, outcome)));
        }
    }

    private void heard(String node, double asked, Outcome outcome) {
        if (outcome instanceof Outcome.Answered answer && answer.status() == 200) {
            JsonNode ago = answer.json().path("contactAgoMs");
            if (ago.isNumber()) {
                contactAt.merge(node, asked - ago.doubleValue() / 1000, Math::max);
            }
        }
    }

    /** Whether another node has reached the state service of late, as far as it could be asked. */
    public boolean anyInContact(double now) {
        return contactAt.values().stream().anyMatch(at -> now - at < 2 * reportS);
    }

    /** Takes another node's question. */
    public void handle(Call call, Consumer<Reply> answer) {
        if (call.path().equals("/peer/contact") && call.method().equals("GET")) {
            double ago = Math.min(1e9, loop.now() - ownContactAt);
            answer.accept(Reply.json(200, Json.object().put("contactAgoMs", Math.round(ago * 1000)).put("epoch", token)));
        } else {
            answer.accept(Reply.error(404, "no such path"));
        }
    }
}
