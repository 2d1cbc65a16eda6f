package io.pepperfield.controller;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;
import io.pepperfield.store.KeyValueStore;

/**
 * The clients through which a controller reaches everything outside its process.
 *
 * @param store where all state is kept, as the rollout shows it if there is one
 * @param rateLimitSetter sets how much of the store's rates this controller may use
 */
public record ExternalSystems(
        KeyValueStore store,
        CloudProvider cloud,
        WorkerClient workers,
        Peers peers,
        HeartbeatForwarder heartbeatForwarder,
        RoleRateLimits.RateLimitSetter rateLimitSetter) {}
