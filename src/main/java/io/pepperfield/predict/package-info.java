/**
 * Online prediction as in WIRE: run times of tasks from their finished peers, boot times of
 * machines, and the times at which jobs in pipelines become ready. Samples are kept for the current
 * term only, so a new leader starts without any. Confined to the event loop.
 */
package io.pepperfield.predict;
