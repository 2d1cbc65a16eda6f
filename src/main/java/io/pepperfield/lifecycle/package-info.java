/**
 * Lifecycle of jobs and attempts on the leader: intents, starts, run records, final states, and
 * recovery at failover.
 */
package io.pepperfield.lifecycle;
