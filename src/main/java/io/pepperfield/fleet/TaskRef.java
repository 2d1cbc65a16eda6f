package io.pepperfield.fleet;

import java.util.Optional;

/**
 * Identifies a task by its job and its index.
 *
 * @param job the job's id
 * @param task the task's index in the job, from 0
 */
public record TaskRef(String job, int task) {

    private static final int MAX_INDEX_DIGITS = 7;

    /**
     * Parses the format of {@link #toString}; returns empty if the text is not a valid task
     * reference.
     */
    public static Optional<TaskRef> parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 1
                || slash == text.length() - 1
                || text.length() - slash - 1 > MAX_INDEX_DIGITS) {
            return Optional.empty();
        }
        for (int i = slash + 1; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return Optional.empty();
            }
        }
        int task = Integer.parseInt(text.substring(slash + 1));
        return Optional.of(new TaskRef(text.substring(0, slash), task));
    }

    @Override
    public String toString() {
        return job + "/" + task;
    }
}
