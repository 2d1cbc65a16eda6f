package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.Keys;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one place where stored-state versions are compared. New behaviour asks here; whatever is
 * written carries {@link #precondition}, so that a controller with stale knowledge writes nothing.
 */
public final class VersionGate {

    private static final Logger LOG = LoggerFactory.getLogger(VersionGate.class);

    private final Release release;
    private ClusterVersion version = ClusterVersion.INITIAL;
    private long modRevision;
    private boolean replicaLoaded;
    private String refusalReason = "";

    /** Creates a gate that is closed until the replica is {@link #markReplicaLoaded}. */
    public VersionGate(Release release) {
        this.release = release;
    }

    /** The release that asks. */
    public Release release() {
        return release;
    }

    /** The replica holds all keys: a version record that is not there does not exist. */
    void markReplicaLoaded() {
        replicaLoaded = true;
    }

    /** The replica's news of the version record. */
    void onVersionChanged(JsonNode data, long newModRevision) {
        Optional<ClusterVersion> known =
                Optional.ofNullable(data).flatMap(ClusterVersion::fromJson);
        if (known.isEmpty()) {
            // Never deleted by anybody: without it records of a newer form could be taken for none.
            refuseService("the stored-state version record is gone or cannot be read");
            return;
        }
        version = known.get();
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

    /** This controller serves nobody from now on; logged once for each reason. */
    void refuseService(String reason) {
        if (!reason.equals(refusalReason)) {
            refusalReason = reason;
            LOG.error("not serving: reason=\"{}\"", reason);
        }
    }

    /** Whether this controller may take part in the cluster. */
    public boolean mayServe() {
        return refusalReason.isEmpty();
    }

    /** Why it may not, or empty. */
    String refusalReason() {
        return refusalReason;
    }

    /** Whether the version is known and this controller may write. */
    boolean mayWrite() {
        return replicaLoaded && mayServe();
    }

    /** The version record as known here. */
    ClusterVersion version() {
        return version;
    }

    /** What every write carries: the version is still the one known here. */
    Precondition precondition() {
        return new Precondition(Keys.ROLLOUT_VERSION, modRevision);
    }

    /** Whether run records are to be written in the compact form. */
    public boolean writesCompactRunRecords() {
        return version.writeVersion() >= StoredVersions.COMPACT_RUN_RECORDS;
    }

    /**
     * Whether records may exist that a release without a gate cannot read. The leader key is then
     * kept where such a release does not look, and never leads.
     */
    boolean fencesOlderReleases() {
        return version.highestVersion() >= StoredVersions.COMPACT_RUN_RECORDS;
    }
}
