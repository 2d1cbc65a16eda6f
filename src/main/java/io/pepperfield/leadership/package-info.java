/**
 * Leader election through a key of the state service that is attached to a grant. Tracks the
 * current leader and the fencing token of this node's own term. The controller passes in changes of
 * the leader key and calls {@code tick} periodically on the event loop's thread; the leader's
 * writes take their fencing precondition from here.
 */
package io.pepperfield.leadership;
