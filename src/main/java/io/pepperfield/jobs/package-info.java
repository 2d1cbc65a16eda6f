/**
 * Jobs as users see them and as they are kept: submissions, queries, cancellations, the durable
 * forms and the catalog of all accepted jobs, which every controller keeps; and {@link
 * io.pepperfield.jobs.Job}, the leader's working state of a job that has not ended. Called on the
 * owner thread by the controller for users' requests and by the leader.
 */
package io.pepperfield.jobs;
