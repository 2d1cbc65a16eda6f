package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.LeadershipView;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Handles the operators' requests about the rollout. Any controller reports the status; only the
 * leader makes changes.
 */
final class RolloutRequestHandler {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final VersionGate gate;
    private final VersionedKeyValueStore versionedStore;
    private final MemberRegistry registry;
    private final VersionTransitions versionTransitions;
    private final LeadershipView leadership;
    private boolean changeInFlight;

    RolloutRequestHandler(
            VersionGate gate,
            VersionedKeyValueStore versionedStore,
            MemberRegistry registry,
            VersionTransitions versionTransitions,
            LeadershipView leadership) {
        this.gate = gate;
        this.versionedStore = versionedStore;
        this.registry = registry;
        this.versionTransitions = versionTransitions;
        this.leadership = leadership;
    }

    void handle(InboundRequest request, Consumer<HttpReply> answer) {
        if (request.path().equals(Rollout.PATH)) {
            answer.accept(
                    request.method().equals("GET")
                            ? HttpReply.json(OK, status())
                            : HttpReply.error(METHOD_NOT_ALLOWED, "want GET"));
        } else if (!request.method().equals("POST")) {
            answer.accept(HttpReply.error(METHOD_NOT_ALLOWED, "want POST"));
        } else if (!gate.mayWrite() || !leadership.holdsValidLease()) {
            answer.accept(notLeaderReply());
        } else if (changeInFlight) {
            answer.accept(new RolloutResult.RetryLater("another change is under way").toReply());
        } else {
            handleChange(request, answer);
        }
    }

    /** The reply on which the console tries the next controller. */
    private HttpReply notLeaderReply() {
        String reason =
                gate.mayServe()
                        ? "not the leader, which is " + leadership.leaderNode()
                        : "serving nobody: " + gate.refusalReason();
        return new RolloutResult.RetryLater(reason).toReply();
    }

    private void handleChange(InboundRequest request, Consumer<HttpReply> answer) {
        switch (request.path().substring(Rollout.PATH.length())) {
            case "/activate" -> activate(request.body(), answer);
            case "/finalize" -> versionTransitions.finalizeActive(beginChange(answer));
            case "/rollback" -> versionTransitions.rollback(beginChange(answer));
            default -> answer.accept(HttpReply.error(NOT_FOUND, "no such path"));
        }
    }

    /** Allows one change at a time: further ones are rejected until this one has been answered. */
    private Consumer<RolloutResult> beginChange(Consumer<HttpReply> answer) {
        changeInFlight = true;
        return result -> {
            changeInFlight = false;
            answer.accept(result.toReply());
        };
    }

    private void activate(byte[] requestBody, Consumer<HttpReply> answer) {
        JsonNode body = Json.read(requestBody);
        boolean readable = body != null && body.isObject();
        JsonNode target = readable ? body.path("to") : null;
        if (target == null || !target.isMissingNode() && !target.isInt()) {
            answer.accept(HttpReply.error(BAD_REQUEST, "to: want the number of a version"));
            return;
        }
        List<String> excluded = new ArrayList<>();
        body.path("without").forEach(node -> excluded.add(node.asText()));
        versionTransitions.activate(
                target.asInt(gate.release().newestWritten()),
                excluded,
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
                        .put("leader", leadership.leaderNode())
                        .put("recordsInNewerForm", versionedStore.compactRecordCount());
        if (!gate.mayServe()) {
            status.put("servesNobody", gate.refusalReason());
        }
        version.excludedControllers().forEach(status.putArray("removed")::add);
        ArrayNode members = status.putArray("controllers");
        registry.members().forEach((node, member) -> members.add(describe(node, member)));
        int next = gate.release().newestWritten();
        if (next > version.writeVersion()) {
            ArrayNode blockers = status.putArray("waitsFor");
            registry.activationBlockers(next, version.excludedControllers()).forEach(blockers::add);
        }
        return status;
    }

    private static ObjectNode describe(String node, Optional<MemberRelease> member) {
        ObjectNode described = Json.object().put("node", node);
        if (member.isEmpty()) {
            return described.put("release", "not declared");
        }
        described.set("release", member.get().toJson());
        return described;
    }
}
