/**
 * Scales the instance pools out and in: projects the demand of the next interval from the known
 * work, as in WIRE, and turns target machine counts into rentals and releases.
 */
package io.pepperfield.autoscaling;
