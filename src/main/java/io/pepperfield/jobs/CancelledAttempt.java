package io.pepperfield.jobs;

/**
 * An attempt of a cancelled job that may be alive on its machine by what is stored of its task.
 *
 * @param task the job's id and the task's number, separated by a slash
 * @param number the attempt's number, from 1
 * @param jobOpenAt loop time in seconds at which the job was not cancelled yet
 */
public record CancelledAttempt(String taskId, int attemptNumber, double jobActiveAt) {}
