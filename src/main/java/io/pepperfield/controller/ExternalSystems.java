package io.pepperfield.controller;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;
import io.pepperfield.store.KeyValueStore;

/**
 * The clients with which a controller accesses systems outside its process.
 *
 * @param store the key-value store that holds all durable state; the rollout's view of it if the
 *     rollout is enabled
 * @param rateLimitSetter sets this controller's share of the store's rate limits
 */
public record ExternalSystems(
        KeyValueStore store,
        CloudProvider cloud,
        WorkerClient workers,
        Peers peers,
        HeartbeatForwarder heartbeatForwarder,
        RoleRateLimits.RateLimitSetter rateLimitSetter) {}
