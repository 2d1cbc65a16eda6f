/**
 * Messages between controllers. Each controller takes the heartbeats of a partition of the machines
 * and forwards them to the leader, whose orders it hands on; controllers also compare their contact
 * with the key-value store. Holds the last heartbeats of this controller's partition and what is
 * known of the other members. Confined to the event loop.
 */
package io.pepperfield.peer;
