package io.pepperfield.heartbeat;

import io.pepperfield.config.Settings;
import io.pepperfield.health.ZonePartitionDetector;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;

/**
 * Detects whether this controller is isolated, and whether there may be no leader, from its contact
 * with the store, the leader, the other controllers and the workers of each zone. Confined to the
 * event loop.
 */
final class IsolationDetector {

    private final Settings settings;
    private final Leadership leadership;
    private final HeartbeatForwarder forwarder;
    private final Peers peers;
    private final ZonePartitionDetector zonePartitionDetector = new ZonePartitionDetector();

    IsolationDetector(Settings settings, ClusterLinks links) {
        this.settings = settings;
        this.leadership = links.leadership();
        this.forwarder = links.forwarder();
        this.peers = links.peers();
    }

    /** Records the arrival of a heartbeat from a machine in the given zone. */
    void recordHeartbeat(String zone) {
        zonePartitionDetector.recordHeartbeat(zone.equals(settings.zone()));
    }

    /**
     * Whether this controller has lost both the store and any current leader, so that its workers
     * should move to other controllers before their leases expire. False if its whole zone is
     * partitioned, because its workers cannot reach other controllers either.
     */
    boolean isIsolated(double now) {
        return !leadership.holdsValidLease()
                && !forwarder.leaderReachable(now)
                && peers.storeContact(now) == Peers.StoreContact.ISOLATED
                && !zonePartitionDetector.isPartitioned();
    }

    /**
     * Whether there may currently be no leader, or this controller cannot determine the leader.
     * Always true within a heartbeat interval of the latest request that a leader has answered.
     */
    boolean leaderMayBeAbsent(double now) {
        return now - forwarder.leaderAnsweredAt()
                        < settings.deployment().workerTimings().heartbeatIntervalS()
                || leadership.leaderNode().isEmpty()
                || peers.storeContact(now) != Peers.StoreContact.CONNECTED;
    }

    /** Whether, according to a store that this controller reaches, another controller leads. */
    boolean anotherControllerLeads(double now) {
        return peers.storeContact(now) == Peers.StoreContact.CONNECTED
                && !leadership.leaderNode().isEmpty()
                && !leadership.leaderNode().equals(settings.node());
    }
}
