/**
 * Online prediction after WIRE: run times of tasks from their finished peers, boot times of
 * machines, and times at which jobs in pipelines become ready. Holds samples of the current term
 * only, so that a new leader begins without any. Called by the leader on the owner thread.
 */
package io.pepperfield.predict;
