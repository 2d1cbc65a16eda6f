/**
 * Failure detection for lost machines, paused processes, partitioned zones and unresponsive
 * controllers, and the policy for renewing leases without confirmation by the key-value store.
 */
package io.pepperfield.health;
