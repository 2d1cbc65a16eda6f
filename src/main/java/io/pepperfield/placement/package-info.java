/**
 * Which waiting task goes to which machine, and which running tasks are stopped to make room. Pure
 * functions over rooms, shares and requests that the caller builds anew for each round; nothing is
 * kept between calls. Called by the leader's dispatcher.
 */
package io.pepperfield.placement;
