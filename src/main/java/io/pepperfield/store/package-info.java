/**
 * The state service, the only durable memory of the cluster: its client, this controller's share of
 * its request rates, the local replica with its synchronization, and the leader's fenced writes.
 * Every controller keeps the replica; only the leader uses {@link
 * io.pepperfield.store.FencedWriter}. All of it is confined to the event loop's thread.
 */
package io.pepperfield.store;
