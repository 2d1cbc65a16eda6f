package io.pepperfield.controller;

import io.pepperfield.loop.Loop;
import io.pepperfield.peer.Peers;
import io.pepperfield.store.ReplicaSynchronizer;

/** Decides whether the load balancer should send users' requests to this controller. */
record HealthCheck(Loop loop, ReplicaSynchronizer synchronizer, Peers peers) {

    /**
     * Returns false until the replica is loaded, and if only this controller has lost contact with
     * the store, so that the load balancer removes it. During an outage that affects many
     * controllers it remains healthy.
     */
    boolean isHealthy() {
        return synchronizer.isLoaded()
                && peers.storeContact(loop.now()) != Peers.StoreContact.ISOLATED;
    }
}
