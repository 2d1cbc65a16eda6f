/**
 * Messages between controllers. Each controller receives the heartbeats of one partition of the
 * machines, forwards them to the leader and returns the leader's orders to the workers. Controllers
 * also compare their contact with the key-value store, to tell an outage from their own isolation.
 * The package caches the last heartbeats of this controller's partition and tracks the liveness of
 * the other members. Confined to the event loop.
 */
package io.pepperfield.peer;
