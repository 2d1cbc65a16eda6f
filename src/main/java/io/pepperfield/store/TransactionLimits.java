package io.pepperfield.store;

/** How much a writer may put into one transaction. */
public interface TransactionLimits {

    /** The state service takes so many times as many guards as changes. */
    int PRECONDITIONS_PER_MUTATION = 4;

    /** Puts and deletes in a transaction. */
    int maxMutations();

    /** Conditions in a transaction. */
    int maxPreconditions();

    /** All that the state service allows. */
    static TransactionLimits all(int changes) {
        return new TransactionLimits() {
            @Override
            public int maxMutations() {
                return changes;
            }

            @Override
            public int maxPreconditions() {
                return PRECONDITIONS_PER_MUTATION * changes;
            }
        };
    }
}
