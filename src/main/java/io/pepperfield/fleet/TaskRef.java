package io.pepperfield.fleet;

/** A task's name on the wire: its job and its number. */
public record TaskRef(String job, int task) {

    /** Null where the text is no task's name. */
    public static TaskRef parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 1 || slash == text.length() - 1 || text.length() - slash > 8) {
            return null;
        }
        for (int i = slash + 1; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return null;
            }
        }
        return new TaskRef(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
    }

    @Override
    public String toString() {
        return job + "/" + task;
    }
}
