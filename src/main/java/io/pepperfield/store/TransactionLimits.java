package io.pepperfield.store;

/** How much a writer may put into one transaction. */
public interface TransactionLimits {

    /** The state service takes so many times as many preconditions as mutations. */
    int PRECONDITIONS_PER_MUTATION = 4;

    /** The most keys written or deleted in a transaction. */
    int maxMutations();

    /** The most preconditions of a transaction. */
    int maxPreconditions();

    /** All that the state service allows. */
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
