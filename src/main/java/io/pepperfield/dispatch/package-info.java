/**
 * The scheduling pass of the leader: pending placement requests, placement, preemption and
 * reservations.
 */
package io.pepperfield.dispatch;
