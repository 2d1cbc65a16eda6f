package io.pepperfield.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.rollout.StoredVersions;
import io.pepperfield.store.Keys;
import io.pepperfield.store.TransactionLimits;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks whether this controller can read all stored records, both with the rollout of stored-state
 * versions enabled and with it disabled. A controller that cannot read them rejects all requests,
 * because its view of jobs and machines may be incomplete. Confined to the event loop.
 */
final class StoredStateCompatibility {

    /** Error text of a controller that cannot serve requests. */
    static final String NOT_SERVING = "this controller cannot read all that is stored";

    private static final Logger LOG = LoggerFactory.getLogger(StoredStateCompatibility.class);

    private final Optional<Rollout> rollout;
    private final TransactionLimits limits;

    /** Whether the rollout is disabled although records of a newer version exist. */
    private boolean newerVersionInUse;

    /**
     * @param rollout empty if operators have not enabled it
     */
    StoredStateCompatibility(Optional<Rollout> rollout, Settings settings) {
        this.rollout = rollout;
        this.limits =
                rollout.map(Rollout::transactionLimits)
                        .orElseGet(
                                () ->
                                        TransactionLimits.serviceMaximum(
                                                settings.deployment()
                                                        .storeLimits()
                                                        .maxTransactionOps()));
    }

    /** Returns whether this controller may serve requests and lead. */
    boolean mayServe() {
        return rollout.isPresent() ? rollout.get().gate().mayServe() : !newerVersionInUse;
    }

    /** Returns the size limits of the leader's transactions. */
    TransactionLimits transactionLimits() {
        return limits;
    }

    /**
     * Returns how many tasks a run record of a new job contains.
     *
     * @param tasksInFirstVersion the number in the first stored-state version
     */
    int tasksPerRunRecord(int tasksInFirstVersion) {
        return rollout.isPresent()
                ? rollout.get().tasksPerRecord(tasksInFirstVersion)
                : tasksInFirstVersion;
    }

    /** Handles a replica change of a key with the prefix {@link Keys#ROLLOUT_PREFIX}. */
    void replicaChanged(String key, JsonNode value, long modRevision) {
        if (rollout.isPresent()) {
            rollout.get().onKeyChanged(key, value, modRevision);
        } else if (key.equals(Keys.ROLLOUT_VERSION)) {
            versionRecordChanged(value);
        }
    }

    private void versionRecordChanged(JsonNode value) {
        boolean newer =
                value != null
                        && value.path("highest").asInt(Integer.MAX_VALUE) > StoredVersions.FIRST;
        if (newer && !newerVersionInUse) {
            LOG.error(
                    "not serving: reason=\"a newer stored-state version is in use and rollout is disabled\"");
        }
        newerVersionInUse = newer;
    }

    /** Must be called a few times per grant TTL once the replica is loaded. */
    void tick() {
        rollout.ifPresent(Rollout::tick);
    }

    /** Returns whether this is an operator's request about the rollout, and rollout is enabled. */
    boolean isRolloutRequest(InboundRequest request) {
        return rollout.isPresent() && request.path().startsWith(Rollout.PATH);
    }

    /** Handles a request for which {@link #isRolloutRequest} is true. */
    void handleRolloutRequest(InboundRequest request, Consumer<HttpReply> answer) {
        rollout.orElseThrow().handle(request, answer);
    }
}
