package io.pepperfield.rollout;

/**
 * A release of the program and the stored-state versions that it reads and writes.
 *
 * @param name name of the release as shown to operators
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

    /** Checks that the release can read every version that it writes. */
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

    /** Whether a controller of this release may serve in a cluster with this version record. */
    boolean isCompatibleWith(ClusterVersion version) {
        return oldestRead <= StoredVersions.FIRST
                && version.highestVersion() <= newestRead
                && version.writeVersion() <= newestWritten;
    }
}
