package io.pepperfield.admission;

import io.pepperfield.jobs.JobSpec;

/** Predicted wait of new tasks of a team and priority before they start, in seconds. */
public record QueueWait(String team, JobSpec.Priority priority, double waitS) {}
