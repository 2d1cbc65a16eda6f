package io.pepperfield.store;

/** How much a writer may put into one transaction. */
public interface TransactionLimits {

    /** The state service takes so many times as many guards as changes. */
    int GUARDS_PER_CHANGE = 4;

    /** Puts and deletes in a transaction. */
    int changes();

    /** Conditions in a transaction. */
    int guards();

    /** All that the state service allows. */
    static TransactionLimits all(int changes) {
        return new TransactionLimits() {
            @Override
            public int changes() {
                return changes;
            }

            @Override
            public int guards() {
                return GUARDS_PER_CHANGE * changes;
            }
        };
    }
}
