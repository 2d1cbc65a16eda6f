/** The fencing token, which identifies the leader term of a message or write. */
package io.pepperfield.fencing;
