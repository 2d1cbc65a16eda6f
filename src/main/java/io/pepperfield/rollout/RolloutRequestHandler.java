package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.LeaderClaim;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The operators' requests about the rollout: its state from any controller, changes by the leader.
 */
final class RolloutRequestHandler {

    private final VersionGate gate;
    private final VersionedKeyValueStore versionedStore;
    private final MemberRegistry registry;
    private final VersionTransitions versionTransitions;
    private final LeaderClaim leaderClaim;
    private boolean changeInFlight;

    RolloutRequestHandler(
            VersionGate gate,
            VersionedKeyValueStore forms,
            MemberRegistry registry,
            VersionTransitions versions,
            LeaderClaim claim) {
        this.gate = gate;
        this.versionedStore = forms;
        this.registry = registry;
        this.versionTransitions = versions;
        this.leaderClaim = claim;
    }

    void handle(InboundRequest call, Consumer<HttpReply> answer) {
        if (call.path().equals(Rollout.PATH)) {
            answer.accept(
                    call.method().equals("GET")
                            ? HttpReply.json(200, status())
                            : HttpReply.error(405, "want GET"));
        } else if (!call.method().equals("POST")) {
            answer.accept(HttpReply.error(405, "want POST"));
        } else if (!gate.mayWrite() || !leaderClaim.holdsValidLease()) {
            answer.accept(notLeaderReply());
        } else if (changeInFlight) {
            answer.accept(new RolloutResult.RetryLater("another change is under way").toReply());
        } else {
            handleChange(call, answer);
        }
    }

    /** The console asks the next controller. */
    private HttpReply notLeaderReply() {
        String why =
                gate.mayServe()
                        ? "not the leader, which is " + leaderClaim.leaderNode()
                        : "serving nobody: " + gate.refusalReason();
        return new RolloutResult.RetryLater(why).toReply();
    }

    private void handleChange(InboundRequest call, Consumer<HttpReply> answer) {
        switch (call.path().substring(Rollout.PATH.length())) {
            case "/activate" -> activate(call.body(), answer);
            case "/finalize" -> versionTransitions.finalizeActive(beginChange(answer));
            case "/rollback" -> versionTransitions.rollback(beginChange(answer));
            default -> answer.accept(HttpReply.error(404, "no such path"));
        }
    }

    /** One change at a time: the next may begin once this one is answered. */
    private Consumer<RolloutResult> beginChange(Consumer<HttpReply> answer) {
        changeInFlight = true;
        return result -> {
            changeInFlight = false;
            answer.accept(result.toReply());
        };
    }

    private void activate(byte[] raw, Consumer<HttpReply> answer) {
        JsonNode body = Json.read(raw);
        boolean readable = body != null && body.isObject();
        JsonNode target = readable ? body.path("to") : null;
        if (target == null || !target.isMissingNode() && !target.isInt()) {
            answer.accept(HttpReply.error(400, "to: want the number of a version"));
            return;
        }
        List<String> without = new ArrayList<>();
        body.path("without").forEach(node -> without.add(node.asText()));
        versionTransitions.activate(
                target.asInt(gate.release().newestWritten()),
                without,
                body.path("olderReleasesRetired").asBoolean(),
                beginChange(answer));
    }

    private ObjectNode status() {
        ClusterVersion version = gate.version();
        ObjectNode status =
                Json.object()
                        .put("phase", version.phase().name())
                        .put("writes", version.writeVersion())
                        .put("highest", version.highestVersion())
                        .put("finalized", version.finalizedVersion())
                        .put("leader", leaderClaim.leaderNode())
                        .put("recordsInNewerForm", versionedStore.compactRecordCount());
        if (!gate.mayServe()) {
            status.put("servesNobody", gate.refusalReason());
        }
        version.removedControllers().forEach(status.putArray("removed")::add);
        ArrayNode members = status.putArray("controllers");
        registry.members().forEach((node, member) -> members.add(describe(node, member)));
        int next = gate.release().newestWritten();
        if (next > version.writeVersion()) {
            ArrayNode waiting = status.putArray("waitsFor");
            registry.activationBlockers(next, version.removedControllers()).forEach(waiting::add);
        }
        return status;
    }

    private static ObjectNode describe(String node, MemberRelease member) {
        ObjectNode line = Json.object().put("node", node);
        if (member == null) {
            return line.put("release", "not declared");
        }
        line.set("release", member.write());
        return line;
    }
}
