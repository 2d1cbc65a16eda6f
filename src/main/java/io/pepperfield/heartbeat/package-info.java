/**
 * Answers the heartbeats of workers, in each of the three roles that a controller may have: as the
 * leader, as the owner of a partition with the leader's verdict, and without a reachable leader.
 */
package io.pepperfield.heartbeat;
