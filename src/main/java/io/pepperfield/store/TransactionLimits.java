package io.pepperfield.store;

/** Limits on the size of one transaction. */
public interface TransactionLimits {

    /** Number of preconditions that the state service allows per allowed mutation. */
    int PRECONDITIONS_PER_MUTATION = 4;

    /** Maximum number of keys written or deleted in a transaction. */
    int maxMutations();

    /** Maximum number of preconditions of a transaction. */
    int maxPreconditions();

    /** Returns the full limits of the state service, with none of them reserved for other uses. */
    static TransactionLimits serviceMaximum(int maxMutations) {
        return new TransactionLimits() {
            @Override
            public int maxMutations() {
                return maxMutations;
            }

            @Override
            public int maxPreconditions() {
                return PRECONDITIONS_PER_MUTATION * maxMutations;
            }
        };
    }
}
