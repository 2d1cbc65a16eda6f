package io.pepperfield.standin;

import io.pepperfield.store.KeyValueStore;
import java.util.List;
import java.util.function.Consumer;

/** A state service that never responds; tests override the calls they need. */
public interface NoOpKeyValueStore extends KeyValueStore {

    @Override
    default void compareAndSwap(
            RequestPriority priority,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> onResult) {}

    @Override
    default void readPage(String after, Consumer<ReadResult> onResult) {}

    @Override
    default void watch(long since, double holdS, Consumer<ReadResult> onResult) {}

    @Override
    default void createGrant(double ttlS, Consumer<GrantOutcome> onResult) {}

    @Override
    default void renewGrant(long id, Consumer<GrantOutcome> onResult) {}

    @Override
    default void revokeGrant(long id) {}
}
