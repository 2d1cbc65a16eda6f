/**
 * The state that the duties of one term share: jobs, machines, attempts that may be alive, machine
 * types and boot times.
 */
package io.pepperfield.cluster;
