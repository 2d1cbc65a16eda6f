package io.pepperfield.overview;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.admission.Admission;
import io.pepperfield.config.Settings;
import io.pepperfield.heartbeat.PartitionAssignment;
import io.pepperfield.http.Json;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.Membership;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.Optional;

/** Describes one controller to operators ({@code GET /api/nodes}). */
public final class ControllerOverview {

    private final Settings settings;
    private final Leadership leadership;
    private final ReplicaSynchronizer synchronizer;
    private final Membership membership;
    private final PartitionAssignment partitions;

    /** Empty if admission is disabled. */
    private final Optional<Admission> admission;

    /** Creates the overview of one controller; {@code admission} is empty if it is disabled. */
    public ControllerOverview(
            Settings settings,
            Leadership leadership,
            ReplicaSynchronizer synchronizer,
            Membership membership,
            PartitionAssignment partitions,
            Optional<Admission> admission) {
        this.settings = settings;
        this.leadership = leadership;
        this.synchronizer = synchronizer;
        this.membership = membership;
        this.partitions = partitions;
        this.admission = admission;
    }

    /**
     * Returns a description of this controller and, if it leads, of the cluster.
     *
     * @param leader overview of this controller's leadership term; empty if it does not lead
     */
    public JsonNode describe(Optional<LeaderOverview> leader, double now) {
        ObjectNode overview =
                Json.object()
                        .put("node", settings.node())
                        .put("zone", settings.zone())
                        .put("leader", leadership.leaderNode())
                        .put("leading", leadership.isLeader())
                        .put("epoch", leadership.fencingToken().value())
                        .put(
                                "stateContactS",
                                Math.round(100 * (now - synchronizer.lastConfirmedAt())) / 100.0);
        admission.ifPresent(enabled -> enabled.describe(overview));
        if (leader.isPresent()) {
            ArrayNode controllers = overview.putArray("controllers");
            settings.members().forEach(member -> describe(member, controllers.addObject(), now));
            leader.get().describe(overview);
        }
        return overview;
    }

    private void describe(Settings.Member member, ObjectNode entry, double now) {
        entry.put("node", member.node())
                .put("zone", member.zone())
                .put("state", state(member.node(), now));
        double silentS = membership.secondsSinceLastMessage(member.node(), now);
        if (Double.isFinite(silentS)) {
            entry.put("heardAgoS", Math.round(10 * silentS) / 10.0);
        }
    }

    private String state(String controller, double now) {
        if (!membership.liveMembers(now).contains(controller)) {
            return "silent";
        }
        return partitions.hasReceiveFailure(controller, now) ? "hears no workers" : "takes part";
    }
}
