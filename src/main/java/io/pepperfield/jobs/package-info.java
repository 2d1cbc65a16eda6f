/**
 * Jobs: handling of submissions, queries and cancellations, the stored forms, the index of all
 * accepted jobs that every controller maintains, and {@link io.pepperfield.jobs.Job}, the leader's
 * working state of a job that has not ended. Called on the event loop's thread, by the controller
 * for user requests and by the leader.
 */
package io.pepperfield.jobs;
