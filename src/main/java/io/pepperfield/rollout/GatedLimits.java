package io.pepperfield.rollout;

import io.pepperfield.store.TransactionLimits;

/**
 * What is left of a transaction's limits for its writer. The version guard takes a condition; while
 * records may be in two forms, a change of form takes a deletion and a second condition too.
 */
final class GatedLimits implements TransactionLimits {

    private static final int VERSION_GUARD = 1;

    private final int mostChanges;
    private final VersionGate gate;

    GatedLimits(int mostChanges, VersionGate gate) {
        this.mostChanges = mostChanges;
        this.gate = gate;
    }

    @Override
    public int changes() {
        return gate.fenced() ? Math.max(1, mostChanges / 2) : mostChanges;
    }

    @Override
    public int guards() {
        int secondForms = gate.fenced() ? changes() : 0;
        return GUARDS_PER_CHANGE * mostChanges - VERSION_GUARD - secondForms;
    }
}
