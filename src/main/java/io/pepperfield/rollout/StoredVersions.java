package io.pepperfield.rollout;

/** The numbers of the stored-state versions. */
public final class StoredVersions {

    /** The version written by every release without a version gate. */
    public static final int FIRST = 1;

    /** Run records are stored in a compact format, and each job has fewer of them. */
    public static final int COMPACT_RUN_RECORDS = 2;

    private StoredVersions() {}
}
