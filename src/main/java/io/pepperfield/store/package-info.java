/**
 * The state service, the only durable memory of the cluster: its client, this node's share of its
 * request rates, the local replica with its synchronization, and the leader's guarded writes. Every
 * controller keeps the replica; only the leader of the current term uses {@link
 * io.pepperfield.store.FencedWriter}. All of it runs on the owner thread.
 */
package io.pepperfield.store;
