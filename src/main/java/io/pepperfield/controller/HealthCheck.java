package io.pepperfield.controller;

import io.pepperfield.loop.Loop;
import io.pepperfield.peer.Peers;
import io.pepperfield.store.ReplicaSynchronizer;

/** Whether the load balancer is to send users' requests to this controller. */
record HealthCheck(Loop loop, ReplicaSynchronizer synchronizer, Peers peers) {

    /**
     * A controller that alone has lost the store leaves the load balancer; one among many in an
     * outage stays.
     */
    boolean isHealthy() {
        return synchronizer.isLoaded()
                && peers.storeContact(loop.now()) != Peers.StoreContact.ISOLATED;
    }
}
