/**
 * Scales the instance pools out and in: projects the demand of the next interval from the work that
 * is known, as in WIRE, and turns target machine counts into rentals and returns.
 */
package io.pepperfield.autoscaling;
