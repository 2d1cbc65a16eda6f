package io.pepperfield.heartbeat;

import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;
import io.pepperfield.store.ReplicaSynchronizer;

/** This controller's connections to the key-value store, the leader and the other controllers. */
public record ClusterLinks(
        Leadership leadership,
        ReplicaSynchronizer synchronizer,
        HeartbeatForwarder forwarder,
        Peers peers) {}
