/** The fencing token that proves which leader a message or a write comes from. */
package io.pepperfield.fencing;
