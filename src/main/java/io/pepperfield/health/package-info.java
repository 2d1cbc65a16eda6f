/**
 * Detection of failures: lost machines, paused processes, partitioned zones, silent controllers;
 * and the rule for how long leases may be renewed without a confirmation by the key-value store.
 */
package io.pepperfield.health;
