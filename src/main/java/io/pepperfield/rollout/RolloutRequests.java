package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;
import io.pepperfield.leadership.LeaderClaim;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The operators' requests about the rollout: its state from any controller, changes by the leader.
 */
final class RolloutRequests {

    private final VersionGate gate;
    private final VersionedStateService forms;
    private final MemberRegistry registry;
    private final VersionChanges versions;
    private final LeaderClaim claim;
    private boolean busy;

    RolloutRequests(
            VersionGate gate,
            VersionedStateService forms,
            MemberRegistry registry,
            VersionChanges versions,
            LeaderClaim claim) {
        this.gate = gate;
        this.forms = forms;
        this.registry = registry;
        this.versions = versions;
        this.claim = claim;
    }

    void handle(Call call, Consumer<Reply> answer) {
        if (call.path().equals(Rollout.PATH)) {
            answer.accept(
                    call.method().equals("GET")
                            ? Reply.json(200, status())
                            : Reply.error(405, "want GET"));
        } else if (!call.method().equals("POST")) {
            answer.accept(Reply.error(405, "want POST"));
        } else if (!gate.mayWrite() || !claim.confirmed()) {
            answer.accept(notHere());
        } else if (busy) {
            answer.accept(new RolloutAnswer.Repeat("another change is under way").reply());
        } else {
            change(call, answer);
        }
    }

    /** The console asks the next controller. */
    private Reply notHere() {
        String why =
                gate.serves()
                        ? "not the leader, which is " + claim.leader()
                        : "serving nobody: " + gate.refusal();
        return new RolloutAnswer.Repeat(why).reply();
    }

    private void change(Call call, Consumer<Reply> answer) {
        switch (call.path().substring(Rollout.PATH.length())) {
            case "/activate" -> activate(call.body(), answer);
            case "/finalize" -> versions.finalizeActive(begin(answer));
            case "/rollback" -> versions.rollback(begin(answer));
            default -> answer.accept(Reply.error(404, "no such path"));
        }
    }

    /** One change at a time: the next may begin once this one is answered. */
    private Consumer<RolloutAnswer> begin(Consumer<Reply> answer) {
        busy = true;
        return result -> {
            busy = false;
            answer.accept(result.reply());
        };
    }

    private void activate(byte[] raw, Consumer<Reply> answer) {
        JsonNode body = Json.read(raw);
        boolean readable = body != null && body.isObject();
        JsonNode target = readable ? body.path("to") : null;
        if (target == null || !target.isMissingNode() && !target.isInt()) {
            answer.accept(Reply.error(400, "to: want the number of a version"));
            return;
        }
        List<String> without = new ArrayList<>();
        body.path("without").forEach(node -> without.add(node.asText()));
        versions.activate(
                target.asInt(gate.release().writes()),
                without,
                body.path("olderReleasesRetired").asBoolean(),
                begin(answer));
    }

    private ObjectNode status() {
        ClusterVersion version = gate.version();
        ObjectNode status =
                Json.object()
                        .put("phase", version.phase().name())
                        .put("writes", version.writes())
                        .put("highest", version.highest())
                        .put("finalized", version.finalized())
                        .put("leader", claim.leader())
                        .put("recordsInNewerForm", forms.compactRecords());
        if (!gate.serves()) {
            status.put("servesNobody", gate.refusal());
        }
        version.removed().forEach(status.putArray("removed")::add);
        ArrayNode members = status.putArray("controllers");
        registry.members().forEach((node, member) -> members.add(describe(node, member)));
        int next = gate.release().writes();
        if (next > version.writes()) {
            ArrayNode waiting = status.putArray("waitsFor");
            registry.waitingFor(next, version.removed()).forEach(waiting::add);
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
