package io.pepperfield.rollout;

/** The stored-state versions that exist, by number. */
public final class StoredVersions {

    /** The form of every release without a version gate. */
    public static final int FIRST = 1;

    /** Run records of a job are kept in a compact form, and jobs have fewer of them. */
    public static final int COMPACT_RUN_RECORDS = 2;

    private StoredVersions() {}
}
