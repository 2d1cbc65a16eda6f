package io.pepperfield.heartbeat;

import io.pepperfield.config.Settings;
import io.pepperfield.health.ZonePartitionDetector;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;

/**
 * Tells from this controller's links to the store, the leader, the other controllers and the
 * workers of each zone whether it is cut off, and whether a leader may be absent. Confined to the
 * event loop.
 */
final class IsolationDetector {

    private final Settings settings;
    private final Leadership leadership;
    private final HeartbeatForwarder forwarder;
    private final Peers peers;
    private final ZonePartitionDetector zonePartitionDetector = new ZonePartitionDetector();

    /** Creates the detector of a controller that has received no heartbeat yet. */
    IsolationDetector(Settings settings, ClusterLinks links) {
        this.settings = settings;
        this.leadership = links.leadership();
        this.forwarder = links.forwarder();
        this.peers = links.peers();
    }

    /** A heartbeat of a machine in that zone arrived. */
    void recordHeartbeat(String zone) {
        zonePartitionDetector.recordHeartbeat(zone.equals(settings.zone()));
    }

    /**
     * Whether this controller is cut off from the store, and from whoever may lead by now, so that
     * others are to take its workers within their leases. Not so where the whole zone is cut off,
     * since its workers reach nobody else either.
     */
    boolean isIsolated(double now) {
        return !leadership.holdsValidLease()
                && !forwarder.leaderReachable(now)
                && peers.storeContact(now) == Peers.StoreContact.ISOLATED
                && !zonePartitionDetector.isPartitioned();
    }

    /** Whether nobody may lead just now, or nobody here can tell who does. */
    boolean leaderMayBeAbsent(double now) {
        return now - forwarder.leaderAnsweredAt()
                        < settings.deployment().workerTimings().heartbeatIntervalS()
                || leadership.leaderNode().isEmpty()
                || peers.storeContact(now) != Peers.StoreContact.CONNECTED;
    }

    /** Whether another controller leads that this one cannot reach, while the store answers. */
    boolean anotherControllerLeads(double now) {
        return peers.storeContact(now) == Peers.StoreContact.CONNECTED
                && !leadership.leaderNode().isEmpty()
                && !leadership.leaderNode().equals(settings.node());
    }
}
