package io.pepperfield.admission;

import io.pepperfield.jobs.JobSpec;

/** How long new work of a team and priority is predicted to wait before it begins, in seconds. */
public record QueueWait(String team, JobSpec.Priority priority, double waitS) {}
