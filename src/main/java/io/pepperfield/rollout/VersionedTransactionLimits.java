package io.pepperfield.rollout;

import io.pepperfield.store.TransactionLimits;

/**
 * The part of a transaction's limits that is left to callers of {@link VersionedKeyValueStore}. The
 * version record takes a precondition. While records may exist in two formats, the conversion of a
 * record also takes a deletion and a second precondition.
 */
final class VersionedTransactionLimits implements TransactionLimits {

    private static final int VERSION_PRECONDITIONS = 1;

    private final int maxMutations;
    private final VersionGate gate;

    VersionedTransactionLimits(int maxMutations, VersionGate gate) {
        this.maxMutations = maxMutations;
        this.gate = gate;
    }

    @Override
    public int maxMutations() {
        return gate.fencesOlderReleases() ? Math.max(1, maxMutations / 2) : maxMutations;
    }

    @Override
    public int maxPreconditions() {
        int compactKeyPreconditions = gate.fencesOlderReleases() ? maxMutations() : 0;
        return PRECONDITIONS_PER_MUTATION * maxMutations
                - VERSION_PRECONDITIONS
                - compactKeyPreconditions;
    }
}
