/**
 * The event loop as its users see it. Every slice depends on this package, and it depends on none.
 */
package io.pepperfield.loop;
