package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The cluster's stored-state version. It is a single durable record, and all durable writes to the
 * state service have a precondition on it.
 *
 * @param writeVersion version in which records are written
 * @param highestVersion newest version in which records may exist
 * @param finalizedVersion oldest version to which the cluster can still be rolled back
 * @param excludedControllers controllers that an operator excluded from the activation, which did
 *     not wait for them
 */
public record ClusterVersion(
        int writeVersion,
        int highestVersion,
        int finalizedVersion,
        List<String> excludedControllers) {

    /** The state of a transition between two versions. */
    public enum Phase {
        /** A single version is in use; a rollback is not possible. */
        FINALIZED,
        /** A newer version is written; it can be finalized or rolled back. */
        ACTIVE,
        /** The finalized version is written again while records of the newer one are converted. */
        ROLLING_BACK
    }

    /** The version of a cluster that has never activated another one. */
    public static final ClusterVersion INITIAL =
            new ClusterVersion(
                    StoredVersions.FIRST, StoredVersions.FIRST, StoredVersions.FIRST, List.of());

    /** Copies the list of controller names. */
    public ClusterVersion {
        excludedControllers = List.copyOf(excludedControllers);
    }

    /** The state of the transition that this record describes. */
    public Phase phase() {
        if (writeVersion < highestVersion) {
            return Phase.ROLLING_BACK;
        }
        return writeVersion > finalizedVersion ? Phase.ACTIVE : Phase.FINALIZED;
    }

    /** Returns the record that makes {@code target} the version to write. */
    ClusterVersion activated(int target, List<String> excluded) {
        return new ClusterVersion(target, target, finalizedVersion, excluded);
    }

    /** Returns the record that rules out a rollback from the active version. */
    ClusterVersion asFinalized() {
        return new ClusterVersion(writeVersion, highestVersion, writeVersion, excludedControllers);
    }

    /** Returns the record that starts a rollback: newer records have to be rewritten. */
    ClusterVersion rollingBack() {
        return new ClusterVersion(
                finalizedVersion, highestVersion, finalizedVersion, excludedControllers);
    }

    /** Returns the record that ends a rollback, when no newer records are left. */
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

    /** Parses the record; empty if this release cannot interpret it. */
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
