/**
 * Capacity planning as in WIRE, as pure functions: how many machines of each type the projected
 * work fills for a billing unit, and the shortages in individual zones.
 */
package io.pepperfield.capacity;
