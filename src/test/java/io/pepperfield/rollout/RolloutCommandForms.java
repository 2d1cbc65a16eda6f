package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.forms.FormFile;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.LeadershipView;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.RegionSettings;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** What operators ask about the rollout, and what a leader answers them. */
public final class RolloutCommandForms implements LeadershipView {

    private static final long TOKEN = 41;
    private static final Release NEWER = new Release("9.1.0", 1, 3, 3);

    private final VersionGate gate = new VersionGate(Release.CURRENT);
    private final RolloutRequestHandler requests;

    private RolloutCommandForms() {
        Settings settings = RegionSettings.of(0, 3, new Settings.StoreLimits(150, 60, 8, 32));
        MemberRegistry registry = new MemberRegistry(settings);
        registry.onMemberChanged("node-0", new MemberRelease(NEWER, "a-process", 0).toJson(), 9);
        NoOpKeyValueStore state = new NoOpKeyValueStore() {};
        VersionedKeyValueStore forms = new VersionedKeyValueStore(state, gate);
        VersionTransitions versions = new VersionTransitions(state, gate, forms, registry, this);
        requests = new RolloutRequestHandler(gate, forms, registry, versions, this);
        gate.markReplicaLoaded();
    }

    /** Adds them. */
    public static void write(FormFile file) {
        JsonNode activate = FormFile.json("rollout-activate.json");
        file.addRead("activate", activate, body -> new RolloutCommandForms().activate(body));
        ObjectNode unknown = ((ObjectNode) activate.deepCopy()).put("to", 3);
        file.add(
                "activate a version of a later release",
                new RolloutCommandForms().activate(unknown));
        RolloutCommandForms forms = new RolloutCommandForms();
        forms.requests.handle(
                forms.call("GET", "", new byte[0]), reply -> file.add("status", reply));
        forms.gate.onVersionChanged(
                ClusterVersion.INITIAL.activated(2, List.of("node-2")).toJson(), 17);
        forms.requests.handle(
                forms.call("GET", "", new byte[0]), reply -> file.add("status once active", reply));
        forms.gate.onVersionChanged(new ClusterVersion(3, 3, 3, List.of()).toJson(), 18);
        forms.requests.handle(
                forms.call("GET", "", new byte[0]), reply -> file.add("status beyond", reply));
    }

    private String activate(JsonNode body) {
        StringBuilder answer = new StringBuilder("no answer yet");
        requests.handle(
                call("POST", "/activate", Json.write(body)),
                reply -> {
                    answer.setLength(0);
                    answer.append(text(reply));
                });
        return answer.toString();
    }

    private static String text(HttpReply reply) {
        return reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
    }

    private InboundRequest call(String method, String action, byte[] body) {
        return new InboundRequest(method, Rollout.PATH + action, Map.of(), body);
    }

    @Override
    public boolean holdsValidLease() {
        return true;
    }

    @Override
    public FencingToken fencingToken() {
        return new FencingToken(TOKEN);
    }

    @Override
    public long grant() {
        return 7;
    }

    @Override
    public JsonNode leaderKeyValue() {
        return Json.object().put("node", "node-0").put("grant", 7);
    }

    @Override
    public String leaderNode() {
        return "node-0";
    }
}
