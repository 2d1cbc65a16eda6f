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
 * Whether this controller can read all that is stored, with the rollout of stored-state versions or
 * without one. If it cannot, it serves nobody: what it knows of jobs and machines may lack what
 * others have written. Confined to the event loop.
 */
final class StoredStateCompatibility {

    /** The answer of a controller that serves nobody. */
    static final String NOT_SERVING = "this controller cannot read all that is stored";

    private static final Logger LOG = LoggerFactory.getLogger(StoredStateCompatibility.class);

    private final Optional<Rollout> rollout;
    private final TransactionLimits limits;

    /** The rollout is switched off here, and records of a newer version exist. */
    private boolean newerVersionInUse;

    /**
     * @param rollout empty where operators have not switched it on
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

    /** Whether this controller may take part in the cluster. */
    boolean mayServe() {
        return rollout.isPresent() ? rollout.get().gate().mayServe() : !newerVersionInUse;
    }

    /** What one of the leader's transactions may hold. */
    TransactionLimits limits() {
        return limits;
    }

    /** Tasks in a run record of a new job, given how many the first stored form takes. */
    int tasksPerRunRecord(int inFirstForm) {
        return rollout.isPresent() ? rollout.get().tasksPerRecord(inFirstForm) : inFirstForm;
    }

    /** The replica brought a change of a key below {@link Keys#ROLLOUT_PREFIX}. */
    void replicaChanged(String key, JsonNode value, long modRevision) {
        if (rollout.isPresent()) {
            rollout.get().onKeyChanged(key, value, modRevision);
        } else if (key.equals(Keys.ROLLOUT_VERSION)) {
            recordVersion(value);
        }
    }

    private void recordVersion(JsonNode value) {
        boolean newer =
                value != null
                        && value.path("highest").asInt(Integer.MAX_VALUE) > StoredVersions.FIRST;
        if (newer && !newerVersionInUse) {
            LOG.error(
                    "not serving: reason=\"a newer stored-state version is in use, and rollout is off\"");
        }
        newerVersionInUse = newer;
    }

    /** To be called a few times per grant, once the replica is loaded. */
    void tick() {
        rollout.ifPresent(Rollout::tick);
    }

    /** Whether the request is an operator's about the rollout. */
    boolean handles(InboundRequest request) {
        return rollout.isPresent() && request.path().startsWith(Rollout.PATH);
    }

    /** Answers a request that {@link #handles} has accepted. */
    void handle(InboundRequest request, Consumer<HttpReply> answer) {
        rollout.orElseThrow().handle(request, answer);
    }
}
