/**
 * The scheduling pass of the leader: collects pending placement requests, plans placements and
 * preemptions, and reserves the capacity that preemption frees.
 */
package io.pepperfield.dispatch;
