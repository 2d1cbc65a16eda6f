package io.pepperfield.rollout;

/**
 * What a release can do with stored state.
 *
 * @param name for operators to read
 * @param oldestRead oldest stored-state version that it reads
 * @param newestRead newest stored-state version that it reads
 * @param newestWritten newest stored-state version that it writes
 */
public record Release(String name, int oldestRead, int newestRead, int newestWritten) {

    /** The release of this program. */
    public static final Release CURRENT =
            new Release(
                    "0.2.0",
                    StoredVersions.FIRST,
                    StoredVersions.COMPACT_RUN_RECORDS,
                    StoredVersions.COMPACT_RUN_RECORDS);

    /** Checks that the release reads what it writes. */
    public Release {
        if (oldestRead < StoredVersions.FIRST
                || newestWritten < oldestRead
                || newestWritten > newestRead) {
            throw new IllegalArgumentException(
                    "release "
                            + name
                            + " reads "
                            + oldestRead
                            + " to "
                            + newestRead
                            + " and writes "
                            + newestWritten);
        }
    }

    /** Whether the release may take part in a cluster of that version. */
    boolean isCompatibleWith(ClusterVersion version) {
        return oldestRead <= StoredVersions.FIRST
                && version.highestVersion() <= newestRead
                && version.writeVersion() <= newestWritten;
    }
}
