/**
 * Capacity planning after WIRE as pure functions: how many machines of which type projected work
 * fills for a billing unit, and what zones lack.
 */
package io.pepperfield.capacity;
