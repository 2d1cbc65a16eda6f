package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.Keys;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single place for checks of the cluster's stored-state version: code whose behaviour depends
 * on the version calls this class. Every write carries {@link #precondition}, so that the writes of
 * a controller with a stale version fail.
 */
public final class VersionGate {

    private static final Logger LOG = LoggerFactory.getLogger(VersionGate.class);

    private final Release release;
    private ClusterVersion version = ClusterVersion.INITIAL;
    private long modRevision;
    private boolean replicaLoaded;
    private String refusalReason = "";

    /** Creates a gate that allows no writes until {@link #markReplicaLoaded} is called. */
    public VersionGate(Release release) {
        this.release = release;
    }

    /** The release that this controller runs. */
    public Release release() {
        return release;
    }

    /** Marks the replica as complete: a version record that is not in it does not exist. */
    void markReplicaLoaded() {
        replicaLoaded = true;
    }

    /** Handles a change of the version record in the replica. */
    void onVersionChanged(JsonNode data, long newModRevision) {
        Optional<ClusterVersion> newVersion =
                Optional.ofNullable(data).flatMap(ClusterVersion::fromJson);
        if (newVersion.isEmpty()) {
            // The record is never deleted. Without it, records in a newer format could be mistaken
            // for missing ones.
            refuseService("the stored-state version record is gone or cannot be read");
            return;
        }
        version = newVersion.get();
        modRevision = newModRevision;
        if (release.isCompatibleWith(version)) {
            refusalReason = "";
            LOG.info(
                    "stored-state version changed: version={} phase={}",
                    version.writeVersion(),
                    version.phase());
        } else {
            refuseService(
                    "stored-state version "
                            + version.highestVersion()
                            + " is in use, and release "
                            + release.name()
                            + " reads "
                            + release.oldestRead()
                            + " to "
                            + release.newestRead());
        }
    }

    /** Stops this controller from serving; the reason is logged when it changes. */
    void refuseService(String reason) {
        if (!reason.equals(refusalReason)) {
            refusalReason = reason;
            LOG.error("not serving: reason=\"{}\"", reason);
        }
    }

    /** Whether this controller may serve in the cluster. */
    public boolean mayServe() {
        return refusalReason.isEmpty();
    }

    /** Why this controller may not serve, or empty if it may. */
    String refusalReason() {
        return refusalReason;
    }

    /** Whether the version is known and this controller may write. */
    boolean mayWrite() {
        return replicaLoaded && mayServe();
    }

    /** The last version record seen in the replica. */
    ClusterVersion version() {
        return version;
    }

    /** The precondition of every write: the version record is still {@link #version}. */
    Precondition precondition() {
        return new Precondition(Keys.ROLLOUT_VERSION, modRevision);
    }

    /** Whether run records are to be written in the compact format. */
    public boolean writesCompactRunRecords() {
        return version.writeVersion() >= StoredVersions.COMPACT_RUN_RECORDS;
    }

    /**
     * Whether records may exist that a release without a version gate cannot read. The leader is
     * then elected under a key that such a release does not use, so that it never becomes leader.
     */
    boolean fencesOlderReleases() {
        return version.highestVersion() >= StoredVersions.COMPACT_RUN_RECORDS;
    }
}
