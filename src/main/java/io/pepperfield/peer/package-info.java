/**
 * Messages between controllers. Each controller takes the reports of a partition of the machines
 * and relays them to the leader, whose orders it hands on; controllers also compare their contact
 * with the state service. Holds the last reports of this node's partition and what is known of the
 * other members. Called by the controller and its leader on the owner thread.
 */
package io.pepperfield.peer;
