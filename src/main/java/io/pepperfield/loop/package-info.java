/**
 * The interface of the event loop. Every other package may depend on this one; it depends on none.
 */
package io.pepperfield.loop;
