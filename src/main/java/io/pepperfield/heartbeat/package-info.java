/**
 * Answers the heartbeats of workers in each of a controller's three roles: as the leader, as a
 * partition owner with the leader's verdict, and without a reachable leader.
 */
package io.pepperfield.heartbeat;
