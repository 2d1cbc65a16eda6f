package io.pepperfield.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.admission.Admission;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.Members;
import io.pepperfield.store.Sync;

/** What operators see of one node ({@code GET /api/nodes}). */
final class NodeOverview {

    private final Settings settings;
    private final Leadership leadership;
    private final Sync sync;
    private final Members members;
    private final ReportHandler reports;

    /** Null where it is switched off. */
    private final Admission admission;

    NodeOverview(
            Settings settings,
            Leadership leadership,
            Sync sync,
            Members members,
            ReportHandler reports,
            Admission admission) {
        this.settings = settings;
        this.leadership = leadership;
        this.sync = sync;
        this.members = members;
        this.reports = reports;
        this.admission = admission;
    }

    /**
     * @param leader this node's leadership, or null while another node leads
     */
    JsonNode describe(LeaderOverview leader, double now) {
        ObjectNode node =
                Json.object()
                        .put("node", settings.node())
                        .put("zone", settings.zone())
                        .put("leader", leadership.leader())
                        .put("leading", leadership.leading())
                        .put("epoch", leadership.token())
                        .put("stateContactS", Math.round(100 * (now - sync.contactAt())) / 100.0);
        if (admission != null) {
            admission.describe(node);
        }
        if (leader != null) {
            ArrayNode controllers = node.putArray("controllers");
            settings.members().forEach(member -> describe(member, controllers.addObject(), now));
            leader.describe(node);
        }
        return node;
    }

    private void describe(Settings.Member member, ObjectNode line, double now) {
        line.put("node", member.node())
                .put("zone", member.zone())
                .put("state", state(member.node(), now));
        double silentS = members.silentFor(member.node(), now);
        if (Double.isFinite(silentS)) {
            line.put("heardAgoS", Math.round(10 * silentS) / 10.0);
        }
    }

    private String state(String node, double now) {
        if (!members.live(now).contains(node)) {
            return "silent";
        }
        return reports.hearsNobody(node, now) ? "hears no workers" : "takes part";
    }
}
