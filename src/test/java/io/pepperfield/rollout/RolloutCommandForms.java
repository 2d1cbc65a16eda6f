package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.forms.GoldenFile;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.LeadershipView;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.RegionSettings;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The operators' requests about the rollout and a leader's replies. */
public final class RolloutCommandForms implements LeadershipView {

    private static final long FENCING_TOKEN = 41;
    private static final Release NEWER_RELEASE = new Release("9.1.0", 1, 3, 3);

    private final VersionGate gate = new VersionGate(Release.CURRENT);
    private final RolloutRequestHandler requestHandler;

    private RolloutCommandForms() {
        Settings settings = RegionSettings.of(0, 3, new Settings.StoreLimits(150, 60, 8, 32));
        MemberRegistry registry = new MemberRegistry(settings);
        registry.onMemberChanged(
                "node-0", new MemberRelease(NEWER_RELEASE, "a-process", 0).toJson(), 9);
        NoOpKeyValueStore store = new NoOpKeyValueStore() {};
        VersionedKeyValueStore versionedStore = new VersionedKeyValueStore(store, gate);
        VersionTransitions versions =
                new VersionTransitions(store, gate, versionedStore, registry, this);
        requestHandler = new RolloutRequestHandler(gate, versionedStore, registry, versions, this);
        gate.markReplicaLoaded();
    }

    /** Adds the requests and replies to the file. */
    public static void write(GoldenFile file) {
        JsonNode activate = GoldenFile.readJsonInput("rollout-activate.json");
        file.addWithFieldMutations(
                "activate", activate, body -> new RolloutCommandForms().activate(body));
        ObjectNode unknown = ((ObjectNode) activate.deepCopy()).put("to", 3);
        file.add(
                "activate a version of a later release",
                new RolloutCommandForms().activate(unknown));
        RolloutCommandForms sample = new RolloutCommandForms();
        sample.requestHandler.handle(
                sample.request("GET", "", new byte[0]), reply -> file.add("status", reply));
        sample.gate.onVersionChanged(
                ClusterVersion.INITIAL.activated(2, List.of("node-2")).toJson(), 17);
        sample.requestHandler.handle(
                sample.request("GET", "", new byte[0]),
                reply -> file.add("status once active", reply));
        sample.gate.onVersionChanged(new ClusterVersion(3, 3, 3, List.of()).toJson(), 18);
        sample.requestHandler.handle(
                sample.request("GET", "", new byte[0]), reply -> file.add("status beyond", reply));
    }

    private String activate(JsonNode body) {
        StringBuilder replyText = new StringBuilder("no answer yet");
        requestHandler.handle(
                request("POST", "/activate", Json.write(body)),
                reply -> {
                    replyText.setLength(0);
                    replyText.append(text(reply));
                });
        return replyText.toString();
    }

    private static String text(HttpReply reply) {
        return reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
    }

    private InboundRequest request(String method, String action, byte[] body) {
        return new InboundRequest(method, Rollout.PATH + action, Map.of(), body);
    }

    @Override
    public boolean holdsValidLease() {
        return true;
    }

    @Override
    public FencingToken fencingToken() {
        return new FencingToken(FENCING_TOKEN);
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
