/**
 * Bin packing and preemption: assigns pending tasks to machines and selects running tasks to
 * preempt. Stateless between calls: all capacities, quota usages and requests are created by the
 * caller for each pass, and are modified only during that pass. Called by the leader's dispatcher.
 */
package io.pepperfield.placement;
