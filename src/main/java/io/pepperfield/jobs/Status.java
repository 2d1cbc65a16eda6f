package io.pepperfield.jobs;

import java.util.Locale;

/** A job's state as its user is told; the last two are final. */
public enum Status {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED;

    /** Whether the state is final. */
    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }

    /** The state's name in the users' protocol. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
