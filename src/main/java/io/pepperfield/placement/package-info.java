/**
 * Bin packing and preemption: which waiting task goes to which machine, and which running tasks are
 * stopped to free capacity. Pure functions over accounts of capacities and quotas and over requests
 * that the caller makes anew for each pass; nothing is kept between calls. Called by the leader's
 * dispatcher.
 */
package io.pepperfield.placement;
