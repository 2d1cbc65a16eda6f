/**
 * Rollout of releases that change the format of stored state: which stored-state version the
 * cluster writes, which controllers support the next one, activation and rollback. Every durable
 * write has a precondition on the version record that its writer has seen, so that safety does not
 * depend on when controllers learn of an activation. The package is only used if operators have
 * enabled the rollout.
 */
package io.pepperfield.rollout;
