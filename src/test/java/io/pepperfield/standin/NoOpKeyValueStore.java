package io.pepperfield.standin;

import io.pepperfield.store.KeyValueStore;
import java.util.List;
import java.util.function.Consumer;

/** A state service that answers nothing; a test overrides the calls that matter to it. */
public interface NoOpKeyValueStore extends KeyValueStore {

    @Override
    default void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done) {}

    @Override
    default void readPage(String after, Consumer<ReadResult> done) {}

    @Override
    default void watch(long since, double holdS, Consumer<ReadResult> done) {}

    @Override
    default void createGrant(double ttlS, Consumer<GrantOutcome> done) {}

    @Override
    default void renewGrant(long id, Consumer<GrantOutcome> done) {}

    @Override
    default void revokeGrant(long id) {}
}
