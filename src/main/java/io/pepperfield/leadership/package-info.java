/**
 * Leader election through a key of the state service that is tied to a grant. Holds this node's
 * view of who leads and the token of its own term. The controller feeds it changes of the leader
 * key and periodic ticks on the owner thread; the leader takes its guard for each write from here.
 */
package io.pepperfield.leadership;
