/**
 * Access to the state service, the cluster's only durable storage: its client, this controller's
 * share of its request rates, the local replica with its synchronization, and the leader's fenced
 * writes. Every controller maintains the replica; only the leader uses {@link
 * io.pepperfield.store.FencedWriter}. All classes are confined to the event loop's thread.
 */
package io.pepperfield.store;
