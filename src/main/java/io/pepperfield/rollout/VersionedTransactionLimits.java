package io.pepperfield.rollout;

import io.pepperfield.store.TransactionLimits;

/**
 * What is left of a transaction's limits for its writer. The version guard takes a condition; while
 * records may be in two forms, a change of form takes a deletion and a second condition too.
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
        int secondForms = gate.fencesOlderReleases() ? maxMutations() : 0;
        return PRECONDITIONS_PER_MUTATION * maxMutations - VERSION_PRECONDITIONS - secondForms;
    }
}
