/**
 * The state shared by the leader's components during one term: jobs, machines, live attempts,
 * machine types and boot times.
 */
package io.pepperfield.cluster;
