package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The cluster's stored-state version: the one durable record that all writes are guarded by.
 *
 * @param writeVersion version that records are written in
 * @param highestVersion newest version in which a record may exist
 * @param finalizedVersion version below which there is no way back
 * @param removedControllers controllers that the activation did not wait for, by an operator's
 *     decision
 */
public record ClusterVersion(
        int writeVersion,
        int highestVersion,
        int finalizedVersion,
        List<String> excludedControllers) {

    /** Where a cluster stands between two versions. */
    public enum Phase {
        /** One version only, with nothing to go back to. */
        FINALIZED,
        /** A newer version is written, and the way back is open. */
        ACTIVE,
        /** The earlier version is written again while records of the newer one are rewritten. */
        ROLLING_BACK
    }

    /** The version of a cluster that has never activated another. */
    public static final ClusterVersion INITIAL =
            new ClusterVersion(
                    StoredVersions.FIRST, StoredVersions.FIRST, StoredVersions.FIRST, List.of());

    /** Copies the names. */
    public ClusterVersion {
        excludedControllers = List.copyOf(excludedControllers);
    }

    /** Where the cluster stands. */
    public Phase phase() {
        if (writeVersion < highestVersion) {
            return Phase.ROLLING_BACK;
        }
        return writeVersion > finalizedVersion ? Phase.ACTIVE : Phase.FINALIZED;
    }

    /** The next version is written from now on. */
    ClusterVersion activated(int target, List<String> without) {
        return new ClusterVersion(target, target, finalizedVersion, without);
    }

    /** The active version becomes the only one. */
    ClusterVersion asFinalized() {
        return new ClusterVersion(writeVersion, highestVersion, writeVersion, excludedControllers);
    }

    /** The final version is written again, and what is newer is to be rewritten. */
    ClusterVersion rollingBack() {
        return new ClusterVersion(
                finalizedVersion, highestVersion, finalizedVersion, excludedControllers);
    }

    /** Nothing is left of the newer version. */
    ClusterVersion rolledBack() {
        return new ClusterVersion(finalizedVersion, finalizedVersion, finalizedVersion, List.of());
    }

    JsonNode toJson() {
        ObjectNode data =
                Json.object()
                        .put("writes", writeVersion)
                        .put("highest", highestVersion)
                        .put("finalized", finalizedVersion);
        excludedControllers.forEach(data.putArray("removed")::add);
        return data;
    }

    /** The record, or empty where it is none that this release understands. */
    static Optional<ClusterVersion> fromJson(JsonNode data) {
        int writes = data.path("writes").asInt(0);
        int highest = data.path("highest").asInt(0);
        int finalized = data.path("finalized").asInt(0);
        if (finalized < StoredVersions.FIRST || writes < finalized || highest < writes) {
            return Optional.empty();
        }
        List<String> removed = new ArrayList<>();
        data.path("removed").forEach(node -> removed.add(node.asText()));
        return Optional.of(new ClusterVersion(writes, highest, finalized, removed));
    }
}
