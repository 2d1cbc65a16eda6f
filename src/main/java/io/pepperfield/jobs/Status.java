package io.pepperfield.jobs;

import java.util.Locale;

/** The status of a job as reported to users; the last two values are final. */
public enum Status {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED;

    /** Whether the status is final. */
    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }

    /** The name of the status in the user API. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
