package io.pepperfield.jobs;

/**
 * An attempt of a cancelled job whose stored task state is still live.
 *
 * @param taskId the job id and the task number, separated by a slash
 * @param attemptNumber the attempt number, from 1
 * @param jobActiveAt a loop time in seconds at which the job was not yet cancelled
 */
public record CancelledAttempt(String taskId, int attemptNumber, double jobActiveAt) {}
