/**
 * Rollout of releases that store state differently: which stored-state version the cluster writes,
 * which controllers could read the next one, and the way forward and back. Every durable write is
 * guarded by the version record that its writer knows, so that safety does not rest on the moment
 * of an activation. Nothing of this package is used unless operators have enabled it.
 */
package io.pepperfield.rollout;
